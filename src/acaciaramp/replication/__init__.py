"""Raft-style replicated log: elections, replication, snapshots, membership."""
