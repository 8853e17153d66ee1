"""The command line: thin over library calls."""
