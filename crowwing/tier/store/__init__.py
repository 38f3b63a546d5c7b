"""The store role: the replicated state, the operator's API, the leases of items, the reader of the platform's
list.
"""
