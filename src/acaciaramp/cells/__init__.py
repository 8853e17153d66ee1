"""Cells: replicated groups of programs, and routing to their leaders."""
