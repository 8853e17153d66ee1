"""How an attempt at an endpoint can fail."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from acaciaramp.verdicts import Verdict


class Failure(enum.Enum):
    """Reasons why an attempt at an endpoint failed."""

    CONNECT = 'connect'
    TIMEOUT = 'silent'
    CONNECTION_LOST = 'cut'
    REFUSED = 'refused'
    SERVER_ERROR = 'server_error'
    MALFORMED = 'malformed'


class EndpointError(AcaciarampError):
    """An attempt at an endpoint failed.

    Attributes:
        failure: What went wrong.
        verdict: Whether the endpoint may have run the request.
    """

    def __init__(
        self, failure: Failure, verdict: Verdict, message: str
    ) -> None:
        """Create the error."""
        super().__init__(message)
        self.failure = failure
        self.verdict = verdict
