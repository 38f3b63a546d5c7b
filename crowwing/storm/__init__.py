"""Retry storms as one backend can see them, from what reaches it alone."""
