"""What a fleet costs at size: real backends beside hollow members, script by script."""
