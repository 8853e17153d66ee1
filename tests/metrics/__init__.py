"""Tests of acaciaramp.metrics."""
