"""Runs the decision module on the simulator's wire: frames, adapter and command."""
