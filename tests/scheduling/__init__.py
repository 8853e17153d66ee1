"""Tests of acaciaramp.scheduling."""
