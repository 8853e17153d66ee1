"""Programs: sequences of model and tool calls with one history and budget."""
