"""Models of machines, the shared dependency, sidecars and clients. Free of I/O."""
