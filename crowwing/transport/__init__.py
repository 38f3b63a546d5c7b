"""Sockets: who may connect, what is read into which buffer, and links that come back. Knows no protocol."""
