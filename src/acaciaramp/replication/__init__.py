"""Replicated logs: election, replication, snapshots, membership change."""
