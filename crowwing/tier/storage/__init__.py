"""Durable storage of the tier's state in record files."""
