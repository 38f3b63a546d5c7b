"""Processes and stand-ins on loopback for the tier's demo."""
