"""Reverse proxy: forwards the requests of callers to endpoints.

The *gateway* handles a request from routing to the response. The *selector*
chooses an endpoint, the *connection pool* carries the request to it, and a
*relay* passes the response on to the caller. A
:class:`~acaciaramp.forwarding.messages.Codec` reads and writes the headers of
a platform.
"""
