"""The tier at size: real processes beside hollow fronts that speak the internal protocol truly."""
