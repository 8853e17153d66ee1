"""Limits on retries: the retry budget and the backoff."""
