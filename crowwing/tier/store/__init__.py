"""The store role: replicated state, commands, the operator's API, leases of items, the platform's list."""
