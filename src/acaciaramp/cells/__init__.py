"""Finds the owner of a program and carries requests to it."""
