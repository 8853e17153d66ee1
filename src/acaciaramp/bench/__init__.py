"""Benchmarks of latency, rate limits, memory and replication cost."""
