"""Utilities that depend on no package but errors, ids and clock."""
