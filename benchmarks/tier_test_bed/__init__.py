"""Processes and stubs on loopback for the tier's demo and benchmarks."""
