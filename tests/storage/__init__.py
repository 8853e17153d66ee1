"""Tests of acaciaramp.storage."""
