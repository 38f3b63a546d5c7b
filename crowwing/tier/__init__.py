"""The serving tier: fronts handle requests, store machines hold the state (docs/serving-tier.md)."""
