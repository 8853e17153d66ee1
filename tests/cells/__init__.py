"""Tests of acaciaramp.cells."""
