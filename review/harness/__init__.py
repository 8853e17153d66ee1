"""Harness of the review cases: the real roles with stand-ins around them."""
