"""Programs: order, history, budgets and the ledger of their calls."""
