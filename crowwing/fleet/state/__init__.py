"""The replicated state of the fleet: merge rules, dissemination and catch-up."""
