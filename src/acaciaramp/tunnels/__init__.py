"""Connections to endpoints that run through another entry instance.

An instance that cannot reach the endpoints, while its peers still can, opens a
*tunnel*: a connection to a peer that dials the endpoint and passes
bytes on. The instance keeps everything else: the deadline, the rate, the turn,
the verdict, and whether the caller is still there. A tunnel leads to a listed
endpoint and never to another instance, so that it is one hop long.
"""
