"""Emulates a fleet on loopback addresses: real backend processes among stand-ins for all their peers."""
