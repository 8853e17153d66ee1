"""Tests of acaciaramp.settings."""
