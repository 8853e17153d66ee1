"""Replication of the environment document by the control group."""
