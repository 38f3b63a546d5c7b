"""What the fleet keeps together, how it spreads and who has caught up."""
