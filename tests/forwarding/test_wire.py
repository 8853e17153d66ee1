"""What a caller sent is what an endpoint runs, byte for byte."""

from __future__ import annotations

import pytest

from tests.forwarding.wire import play

CONNECTIONS = 100
# Some callers leave, and some requests are refused.
LEAST_RUNS = 50


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_an_endpoint_runs_the_requests_that_were_sent(seed: int) -> None:
    assert play(seed, CONNECTIONS) > LEAST_RUNS
