"""Counters and duration histograms of a process.

They are held in memory, sent to a statsd daemon if the settings configure one,
and served in the Prometheus text format if the settings configure a port.
"""
