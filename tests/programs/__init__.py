"""Tests of acaciaramp.programs."""
