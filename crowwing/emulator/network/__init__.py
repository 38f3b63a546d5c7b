"""The stand-ins on sockets."""
