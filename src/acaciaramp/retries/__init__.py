"""Retries: the budget that bounds them and the pauses between them."""
