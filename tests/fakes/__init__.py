"""Tests of ``acaciaramp.fakes``."""
