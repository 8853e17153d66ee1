"""Tests of acaciaramp.entry."""
