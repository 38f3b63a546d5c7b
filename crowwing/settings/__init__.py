"""The operator file: what an installation switches on beyond what its platform tells."""
