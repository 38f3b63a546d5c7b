"""Stand-ins for the backends' peers, on real sockets."""
