"""The bytes of requests that an endpoint gets at once are bounded."""

from __future__ import annotations

import contextlib

import pytest

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.endpoint_bytes import EndpointBytes
from acaciaramp.ids import EndpointId
from acaciaramp.verdicts import Verdict

FIRST, SECOND = EndpointId('e-1'), EndpointId('e-2')


def is_sent(limit: EndpointBytes, endpoint: EndpointId, size: int) -> bool:
    """Return whether a body may be sent now."""
    with contextlib.suppress(EndpointError), limit.sending(endpoint, size):
        return True
    return False


# Guards against an endpoint that ends as the requests that it holds exceed its
# memory.
def test_bodies_beyond_the_bound_are_not_sent() -> None:
    limit = EndpointBytes(100)
    with limit.sending(FIRST, 60), limit.sending(FIRST, 40):
        with pytest.raises(EndpointError) as caught:
            limit.sending(FIRST, 1).__enter__()
        assert is_sent(limit, SECOND, 100)
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.failure is Failure.REFUSED
    assert is_sent(limit, FIRST, 100)


def test_a_body_larger_than_the_bound_is_sent_alone() -> None:
    limit = EndpointBytes(100)
    with limit.sending(FIRST, 101):
        assert not is_sent(limit, FIRST, 1)


def test_bytes_are_free_again_after_a_failure() -> None:
    limit = EndpointBytes(100)
    with contextlib.suppress(OSError), limit.sending(FIRST, 100):
        raise OSError
    assert is_sent(limit, FIRST, 100)
