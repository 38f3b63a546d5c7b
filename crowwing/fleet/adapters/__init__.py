"""Sockets, disk and settings of a fleet member."""
