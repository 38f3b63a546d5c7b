"""Files of the tier's own state."""
