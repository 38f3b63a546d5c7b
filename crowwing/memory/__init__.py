"""Snapshots on disk: what the fleet keeps, across restarts (docs/replication.md)."""
