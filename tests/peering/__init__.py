"""Tests of acaciaramp.peering."""
