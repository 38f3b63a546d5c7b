"""Bytes to values and back, for each party spoken with. No input or output happens here."""
