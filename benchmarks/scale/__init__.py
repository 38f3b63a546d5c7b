"""Cost of a fleet by its size: real backends beside stub members, script by script."""
