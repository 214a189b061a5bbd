"""Orders: non-idempotent requests that run at most once."""
