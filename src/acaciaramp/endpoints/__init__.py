"""Clients of endpoints: model engines and plain services."""
