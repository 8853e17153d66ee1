"""Tests of acaciaramp.endpoints."""
