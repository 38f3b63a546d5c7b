"""Checkers of a recorded history, each of one kind of promise."""
