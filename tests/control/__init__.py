"""Tests of acaciaramp.control."""
