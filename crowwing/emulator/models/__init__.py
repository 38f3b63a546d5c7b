"""What a machine, what lies below, and callers do: pure."""
