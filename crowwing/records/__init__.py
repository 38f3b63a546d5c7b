"""The table of logged events."""
