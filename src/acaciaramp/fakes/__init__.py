"""Stand-ins for engines, plain services and the platform's instance list."""
