"""Failures of attempts at endpoints."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from acaciaramp.verdicts import Verdict


_FIRST_FINAL_STATUS = 200
_FIRST_UNDEFINED_STATUS = 600
# Status codes of responses (RFC 9110, 15); lower ones precede a response.
FINAL_STATUSES = range(_FIRST_FINAL_STATUS, _FIRST_UNDEFINED_STATUS)


class Failure(enum.Enum):
    """Reasons why an attempt at an endpoint failed.

    Attributes:
        CONNECT: No connection could be opened.
        TIMEOUT: The endpoint did not respond in time, or the deadline passed
            before the attempt.
        CONNECTION_LOST: The connection was lost before the response was
            complete.
        REFUSED: The endpoint rejected the request, or all connections to it
            were in use.
        SERVER_ERROR: The endpoint reported an error of its own.
        MALFORMED: The response cannot be decoded, is too large or belongs to
            another request.
    """

    CONNECT = 'connect'
    TIMEOUT = 'silent'
    CONNECTION_LOST = 'cut'
    REFUSED = 'refused'
    SERVER_ERROR = 'server_error'
    MALFORMED = 'malformed'


class EndpointError(AcaciarampError):
    """An attempt at an endpoint failed.

    Attributes:
        failure: Why the attempt failed.
        verdict: Whether the endpoint may have run the request.
    """

    def __init__(
        self, failure: Failure, verdict: Verdict, message: str
    ) -> None:
        """Create the error.

        Args:
            failure: Why the attempt failed.
            verdict: Whether the endpoint may have run the request.
            message: Description for the caller and the log.
        """
        super().__init__(message)
        self.failure = failure
        self.verdict = verdict


class ConnectionRefused(EndpointError):
    """The host of an endpoint has refused a connection: nothing listens there."""
