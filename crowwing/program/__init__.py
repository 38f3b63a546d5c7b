"""The process around the decision module: configuration, wiring, signals, log."""
