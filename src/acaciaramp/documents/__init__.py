"""The environment document: model, checks and lookups."""
