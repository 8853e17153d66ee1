"""Queues steps and assigns them to endpoints with free slots."""
