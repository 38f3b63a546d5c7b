"""Parsers and encoders for the protocol of each party. Nothing here does input or output."""
