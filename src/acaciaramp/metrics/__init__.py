"""Counters and timers sent to a statsd daemon."""
