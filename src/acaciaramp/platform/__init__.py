"""Adapter between the platform that acaciaramp runs on and its other packages.

It translates the names, formats and calls of the platform and makes no
decisions. No other package uses a name of the platform.
"""
