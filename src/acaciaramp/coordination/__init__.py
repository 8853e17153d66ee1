"""State that all instances of a deployment agree on.

The control instances keep the newest routing table, the first replica of the
ledger, the storage instances to retire and checkpoints of the shared rate
limits in a replicated log. Every other instance *follows* their leader with
long polls: each poll reports that the instance is alive and returns the table
and the *view*, the instances and endpoints that exist.
"""
