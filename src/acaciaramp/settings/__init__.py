"""Settings of one instance: their models and the loading of their files."""
