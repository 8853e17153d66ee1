"""Verdicts: whether an endpoint may have run a request."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    Attributes:
        NOT_RUN: No endpoint has run the request, and none will.
        MAY_HAVE_RUN: The request was sent and its outcome is unknown.
        RAN: An endpoint ran the request to completion.
    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts at one request.

    ``RAN`` outweighs ``MAY_HAVE_RUN``, which outweighs ``NOT_RUN``.

    Args:
        first: Verdict of the earlier attempt.
        second: Verdict of the later attempt.

    Returns:
        The verdict on both attempts together.
    """
    verdicts = {first, second}
    if Verdict.RAN in verdicts:
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in verdicts:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
