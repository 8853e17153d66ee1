"""Counters and durations of a process.

They are kept in memory, sent to a statsd daemon where the settings name one,
and served as text where they name a port.
"""
