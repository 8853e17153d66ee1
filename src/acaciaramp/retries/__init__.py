"""Retry budget and backoff."""
