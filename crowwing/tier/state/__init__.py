"""The replicated state machine: events in the order of the log, and the state folded from them."""
