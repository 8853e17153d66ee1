"""Tests of acaciaramp.limits."""
