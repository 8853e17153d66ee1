"""The environment document: its model, validation and lookups."""
