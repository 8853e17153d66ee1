"""Adapter between the users' platform and the rest of the system.

It translates the names, formats and calls of the platform and makes no
decisions. No other package uses a name of the platform.
"""
