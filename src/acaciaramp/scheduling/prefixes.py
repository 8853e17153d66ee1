"""Parts of prompts that endpoints have processed recently."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.scheduling.expected_finish import PromptPart

# Engines drop what was used least recently; at the usual load, requests fill
# their memory in about 30 s.
_MAX_AGE_MS = 20_000
_MAX_PARTS = 2_048
_MAX_ENDPOINTS = 16


class _Use(NamedTuple):
    """When an endpoint processed a part, and how long the part was."""

    used_ms: int
    tokens: int


class PrefixCaches:
    """Which endpoints have processed which parts of prompts."""

    def __init__(self, clock: Clock) -> None:
        """Create the record without any part.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        # By part, then by endpoint; those that were used last are at the end.
        self._by_part: collections.OrderedDict[str, dict[str, _Use]] = (
            collections.OrderedDict()
        )

    def record(
        self, endpoint_id: str, parts: Sequence[PromptPart], extra_tokens: int
    ) -> None:
        """Record that an endpoint processes a prompt.

        Args:
            endpoint_id: The endpoint.
            parts: Parts of the prompt.
            extra_tokens: Tokens that it generates, which belong to the last
                part of a later prompt of the session.
        """
        now_ms = self._clock.now_ms()
        for number, part in enumerate(parts, 1):
            tokens = part.tokens
            if number == len(parts):
                tokens += extra_tokens
            endpoints = self._by_part.setdefault(part.id, {})
            endpoints.pop(endpoint_id, None)
            endpoints[endpoint_id] = _Use(now_ms, tokens)
            self._by_part.move_to_end(part.id)
            if len(endpoints) > _MAX_ENDPOINTS:
                endpoints.pop(next(iter(endpoints)))
        while len(self._by_part) > _MAX_PARTS:
            self._by_part.popitem(last=False)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> dict[str, float]:
        """Return the tokens of a prompt that endpoints need not process.

        Only the beginning of a prompt can be reused: a part counts at an
        endpoint that has processed all parts before it.
        """
        cached: dict[str, float] = {}
        complete: set[str] | None = None
        for part in parts:
            fresh = self._fresh_tokens(part)
            if complete is not None:
                fresh = {key: fresh[key] for key in complete & fresh.keys()}
            complete = set()
            for endpoint_id, tokens in fresh.items():
                cached[endpoint_id] = cached.get(endpoint_id, 0) + tokens
                if tokens == part.tokens:
                    complete.add(endpoint_id)
            if not complete:
                break
        return cached

    def _fresh_tokens(self, part: PromptPart) -> dict[str, int]:
        """Return how much of a part is in the cache of each endpoint."""
        oldest_ms = self._clock.now_ms() - _MAX_AGE_MS
        uses = self._by_part.get(part.id, {})
        return {
            endpoint_id: min(use.tokens, part.tokens)
            for endpoint_id, use in uses.items()
            if use.used_ms > oldest_ms
        }
