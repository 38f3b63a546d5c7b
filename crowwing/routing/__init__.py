"""The desk and the stages that a ticket passes. Knows no HTTP, and decides nothing."""
