"""Checkers of a recorded history, one for each kind of guarantee."""
