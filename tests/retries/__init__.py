"""Tests of acaciaramp.retries."""
