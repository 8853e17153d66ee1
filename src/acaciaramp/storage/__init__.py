"""Durable files: checksummed records that are synced to disk."""
