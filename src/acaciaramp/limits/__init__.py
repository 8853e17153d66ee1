"""Rate and burst of workspaces."""
