"""Failure detection: members and, in large fleets, cells."""
