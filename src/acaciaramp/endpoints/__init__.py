"""HTTP clients of endpoints: model engines and plain services."""
