"""Membership of endpoints, as the platform's instance list reports it."""
