"""The fleet: who is in it, as each member sees it, and the state it keeps together (docs/replication.md)."""
