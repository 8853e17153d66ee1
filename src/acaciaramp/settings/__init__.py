"""Settings of one instance: the table of values and their file."""
