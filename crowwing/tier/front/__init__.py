"""The front role: takes requests, admits them, and dispatches them to sidecars; takes and reads lots."""
