"""Limit on the bytes of requests that an endpoint gets from here at once."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciaramp.ids import EndpointId

# Two requests of the largest size. An endpoint runs and queues about 32 requests
# of all instances, and ends if those that it holds exceed its memory.
MAX_SENT_BYTES = 8_388_608


class EndpointBytes:
    """Counts the bytes of the bodies of requests in flight, by endpoint."""

    def __init__(self, most_bytes: int = MAX_SENT_BYTES) -> None:
        """Create the limit without requests.

        Args:
            most_bytes: Maximum size of all bodies in flight to one endpoint. A
                single larger one is allowed.
        """
        self._most_bytes = most_bytes
        self._sent_bytes: collections.Counter[EndpointId] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def sending(self, endpoint: EndpointId, size: int) -> Iterator[None]:
        """Count a body while its request is in flight.

        Args:
            endpoint: The endpoint.
            size: Size of the body.

        Raises:
            EndpointError: The bodies together would be too large; nothing was
                sent.
        """
        held_bytes = self._sent_bytes[endpoint]
        if held_bytes and held_bytes + size > self._most_bytes:
            raise EndpointError(
                Failure.REFUSED,
                Verdict.NOT_RUN,
                f'{held_bytes} bytes of requests are in flight to the endpoint',
            )
        self._sent_bytes[endpoint] += size
        try:
            yield
        finally:
            self._sent_bytes[endpoint] -= size
            if not self._sent_bytes[endpoint]:
                self._sent_bytes.pop(endpoint)
