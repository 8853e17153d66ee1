"""Tests of the instance list of ``acaciaramp serve``."""
