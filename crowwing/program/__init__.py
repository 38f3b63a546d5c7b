"""The program round the decision module: configuration, wiring, signals, log."""
