"""Tests of connections to endpoints through peers."""
