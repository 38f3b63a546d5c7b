"""Features built on the replicated state: call loans, quotas, idempotency keys, learned starts, prints."""
