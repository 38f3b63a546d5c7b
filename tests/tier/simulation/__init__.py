"""The real control plane on machines with simulated clocks, network and disks, driven by one seed."""
