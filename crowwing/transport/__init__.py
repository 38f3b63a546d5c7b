"""Sockets: the listener, connections, buffers and reconnecting links. Independent of any protocol."""
