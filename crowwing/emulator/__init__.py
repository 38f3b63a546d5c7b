"""A whole fleet on loopback addresses: real backends among stand-ins for everything they speak with."""
