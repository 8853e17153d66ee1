"""The interface for callers: an ASGI application."""
