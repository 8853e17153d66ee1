"""Only requests that end the lifetime of endpoints count as crashing them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests import builders as build
from tests.forwarding.harness import (
    Harness,
    run,
    streamed,
)

if TYPE_CHECKING:
    from tests.forwarding.endpoint import ReceivedRequest, ScriptedEndpoint

RETAINED = build.route(is_retained=True, retention_ms=60_000)


def dropped_second(request: ReceivedRequest) -> list[bytes | None]:
    """Answer first turns, and drop the connection of all others."""
    return streamed(request) if request.body == b'input' else [None]


# Guards against turns that are refused since turns of other conversations, with
# the same input, have crashed endpoints.
def test_turns_with_equal_inputs_in_other_conversations_differ() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for first in ('a1', 'b1'):
            await harness.request(first)
        for second in ('a2', 'a3', 'b2'):
            previous = f'{second[0]}1'.encode()
            await harness.request(
                second, (b'x-previous-turn', previous)
            )
        again, repeated, other = harness.crashes
        assert again == repeated
        assert other != again

    run(RETAINED, scenario, dropped_second)
