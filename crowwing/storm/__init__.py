"""Detects retry storms at one backend from the requests that reach it, and spreads out the retries."""
