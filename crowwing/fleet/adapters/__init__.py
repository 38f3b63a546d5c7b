"""The fleet on sockets and on disk."""
