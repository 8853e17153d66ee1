"""Rate limits of workspaces, divided among instances."""
