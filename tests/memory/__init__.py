"""Tests that start the processes of the system and measure their memory."""
