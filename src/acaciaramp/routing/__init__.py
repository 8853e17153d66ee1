"""The routing table: routes, services, workspaces and traffic limits.

A :class:`~acaciaramp.routing.model.RoutingTable` is one version of the
configuration that operators maintain. Each instance serves with the highest
version that it has received.
"""
