"""Primary-backup replication, with witnesses that keep only epochs and views and decide failover."""
