"""Chooses which step goes next and to which endpoint."""
