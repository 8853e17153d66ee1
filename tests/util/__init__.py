"""Tests of acaciaramp.util."""
