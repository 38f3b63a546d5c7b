"""The serving tier: fronts take requests, store machines keep its state (docs/serving-tier.md)."""
