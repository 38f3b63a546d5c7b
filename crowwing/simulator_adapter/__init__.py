"""The decision module on the wire of the simulator: frames, adapter and the command that runs them."""
