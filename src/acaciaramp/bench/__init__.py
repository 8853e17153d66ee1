"""Measurements against running instances and stand-ins."""
