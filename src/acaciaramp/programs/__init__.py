"""Programs: the order of their steps, histories, budgets and calls."""
