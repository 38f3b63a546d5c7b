"""The dispatcher and the stages that a request passes. Knows no HTTP, and decides nothing."""
