"""What the program writes down of itself."""
