"""The operator file: features that an installation switches on beyond its platform's settings."""
