"""The store role: replicated state, commands, the operator's API, item leases, the platform's list."""
