"""The replicated state machine: the events of the log, and the state that results from applying them."""
