"""Snapshots on disk, which preserve the fleet's replicated state across restarts (docs/replication.md)."""
