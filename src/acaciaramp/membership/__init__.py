"""Which instances and endpoints are live, leaving or gone."""
