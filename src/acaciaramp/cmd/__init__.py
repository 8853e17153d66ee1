"""The command-line interface, a thin layer over library calls."""
