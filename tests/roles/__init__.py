"""Tests of the composition roots of the roles."""
