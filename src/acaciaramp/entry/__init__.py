"""HTTP API for callers: chat completions, programs and plain services."""
