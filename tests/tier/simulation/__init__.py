"""The real control side on simulated machines: clocks, network and disks of one seed."""
