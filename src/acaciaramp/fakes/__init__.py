"""Fakes of model engines, plain services and the platform's instance list."""
