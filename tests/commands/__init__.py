"""Tests of acaciaramp.cmd."""
