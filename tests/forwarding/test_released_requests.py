"""Requests are freed at their end, and not by the garbage collector later."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.conversations.turns import TurnPlan
from acaciaramp.forwarding.messages import InboundRequest
from tests import builders as build
from tests.forwarding.harness import (
    complete,
    dropped,
    refused,
    run,
    streamed,
)

if TYPE_CHECKING:
    from tests.forwarding.endpoint import Script, ScriptedEndpoint
    from tests.forwarding.harness import Harness

TURN = ((b'x-token-counts', b'1,1'),)
CONTINUED = (*TURN, (b'x-previous-turn', b'unknown'))
CASES = [
    pytest.param([complete], (), False, 200, id='answered'),
    pytest.param([streamed], TURN, True, 200, id='retained'),
    pytest.param([refused], (), False, 503, id='refused'),
    pytest.param([dropped], (), False, 502, id='dropped'),
    pytest.param([], (), False, 503, id='no-endpoint'),
    pytest.param([streamed], CONTINUED, True, 404, id='unknown-turn'),
]


def requests_in_memory() -> list[Any]:
    """Return the requests and plans of turns that are not freed.

    Modules of other tests may have some as constants.
    """
    kinds = (InboundRequest, TurnPlan)
    return [item for item in gc.get_objects() if isinstance(item, kinds)]


# Guards against bodies that stay in memory until the garbage collector runs, as
# a traceback or a cancelled task refers to them.
@pytest.mark.parametrize(('scripts', 'headers', 'is_retained', 'status'), CASES)
def test_a_request_is_freed_at_its_end(
    scripts: list[Script],
    headers: tuple[tuple[bytes, bytes], ...],
    status: int,
    *,
    is_retained: bool,
) -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        gc.collect()
        before = requests_in_memory()
        gc.disable()
        try:
            caller = await harness.request('a1', *headers)
            await anyio.wait_all_tasks_blocked()
            assert caller.status == status
            assert len(requests_in_memory()) == len(before)
        finally:
            gc.enable()

    run(build.route(is_retained=is_retained), scenario, *scripts)
