"""Real backends that talk to each other, with faults between them."""
