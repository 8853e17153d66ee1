"""Speeds of a service's endpoints, learned from the responses of requests.

All of them are at the usual duration: observations are divided by the duration
that the endpoint states.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.scheduling.load_board import USUAL_DURATION_PERCENT

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.scheduling.expected_finish import RequestWork
    from acaciaramp.scheduling.load_board import EndpointState

# Initial speeds, at the slow end of the known engines (62 to 123 prompt tokens
# per ms, steps of 2.3 to 3.2 ms), so that a warm prompt counts for enough.
_PROMPT_TOKENS_PER_MS = 60
_MS_PER_TOKEN = 3
_PLAIN_MS = 50
# Learned speeds stay within this factor of the initial ones: what callers and
# links delay is no speed of an endpoint.
_MAX_FACTOR = 8
# Share of a mean that a new observation replaces, and the factor by which one
# observation may differ from the mean; a larger difference counts as this one.
_SMOOTHING = 0.1
_MAX_STEP_FACTOR = 4
# Share of the earlier observations that the regression keeps with each new one,
# and the weight from which on it is used.
_KEPT_SHARE = 0.95
_MIN_WEIGHT = 8
# Prompts of nearly one length say nothing about the time per token.
_MIN_VARIATION = 0.1


class ServiceSpeeds:
    """Learned speeds of the endpoints of one service.

    Attributes:
        ms_per_prompt_token: Time to process a prompt token.
        ms_per_token: Time to generate a token.
        plain_ms: Mean time of a request without token counts.
        request_ms: Mean time of a request; 0 before the first one.
        context_tokens: Mean cache memory of a request; 0 before the first one.
    """

    def __init__(self) -> None:
        """Create the speeds with initial values."""
        self.ms_per_prompt_token = 1 / _PROMPT_TOKENS_PER_MS
        self.ms_per_token = float(_MS_PER_TOKEN)
        self.plain_ms = float(_PLAIN_MS)
        self.request_ms: float = 0
        self.context_tokens: float = 0
        self._prompts = _Regression()

    def work_ms(self, work: RequestWork, cached_tokens: float = 0) -> float:
        """Return the time that a request takes, milliseconds."""
        if not work.has_tokens:
            return self.plain_ms
        uncached_tokens = work.prompt_tokens - cached_tokens
        return (
            uncached_tokens * self.ms_per_prompt_token
            + work.output_tokens * self.ms_per_token
        )

    def record_request(self, work: RequestWork, cached_tokens: float) -> None:
        """Record that a request is sent."""
        self.request_ms = _mean(
            self.request_ms, self.work_ms(work, cached_tokens)
        )
        if work.has_tokens:
            self.context_tokens = _mean(
                self.context_tokens, work.context_tokens
            )

    def record_first_part(
        self, uncached_tokens: float, elapsed_ms: float
    ) -> None:
        """Record the time to the first part of a response that did not wait."""
        self._prompts.add(uncached_tokens, elapsed_ms)
        slope = self._prompts.slope()
        if slope is not None:
            self.ms_per_prompt_token = _bounded(
                slope, 1 / _PROMPT_TOKENS_PER_MS
            )

    def record_parts(self, tokens: int, elapsed_ms: float) -> None:
        """Record the time in which tokens were generated after the first."""
        if tokens > 0:
            mean = _mean(self.ms_per_token, elapsed_ms / tokens)
            self.ms_per_token = _bounded(mean, _MS_PER_TOKEN)

    def record_whole(self, elapsed_ms: float) -> None:
        """Record the time of a request without token counts."""
        mean = _mean(self.plain_ms, elapsed_ms)
        self.plain_ms = max(1, mean)


class ResponseTiming:
    """Learns the speeds of a service from the times of one response."""

    def __init__(
        self,
        speeds: ServiceSpeeds,
        state: EndpointState,
        clock: Clock,
        uncached_tokens: float | None,
        *,
        network_ms: float,
    ) -> None:
        """Create the timing of a request that is not sent yet.

        Args:
            speeds: Speeds of the service.
            state: What is known of the endpoint.
            clock: Source of time.
            uncached_tokens: Tokens of the prompt that are to be processed; None
                for a request without token counts.
            network_ms: Time of the way to the endpoint and back.
        """
        self._speeds = speeds
        self._state = state
        self._clock = clock
        self._uncached_tokens = uncached_tokens
        self._network_ms = network_ms
        # The request waits there, so that its times say nothing about a speed.
        is_full = state.slots > 0 and state.busy >= state.slots
        self._waits = state.waiting > 0 or is_full
        self._sent_ms: int | None = None
        self._first_ms: int | None = None
        self._last_ms = 0
        self._first_events = 0
        self._events = 0

    def record_sent(self) -> None:
        """Record that the request is sent now."""
        self._sent_ms = self._clock.now_ms()

    def record_part(self, events: int) -> None:
        """Record that a part of the response has arrived.

        Args:
            events: Number of whole events of a stream until now.
        """
        self._last_ms = self._clock.now_ms()
        self._events = events
        if self._first_ms is None:
            self._first_ms = self._last_ms
            self._first_events = events

    def record_end(self, tokens_per_event: int) -> None:
        """Learn from the response, which has arrived completely."""
        if self._sent_ms is None or self._first_ms is None:
            return
        usual = USUAL_DURATION_PERCENT / (
            self._state.duration_percent or USUAL_DURATION_PERCENT
        )
        before_ms = self._sent_ms + self._network_ms
        if self._uncached_tokens is None:
            if not self._waits:
                self._speeds.record_whole(
                    max(0, self._last_ms - before_ms) * usual
                )
            return
        tokens = tokens_per_event * (self._events - self._first_events)
        self._speeds.record_parts(
            tokens, (self._last_ms - self._first_ms) * usual
        )
        if self._events and not self._waits:
            self._speeds.record_first_part(
                self._uncached_tokens,
                max(0, self._first_ms - before_ms) * usual,
            )


class _Regression:
    """Slope of a line through recent points, older ones weighing less."""

    def __init__(self) -> None:
        self._weight: float = 0
        self._mean_size: float = 0
        self._mean_measured: float = 0
        self._variance: float = 0
        self._covariance: float = 0

    def add(self, size: float, measured: float) -> None:
        """Add a point."""
        kept = _KEPT_SHARE
        self._weight = kept * self._weight + 1
        delta = size - self._mean_size
        self._mean_size += delta / self._weight
        self._mean_measured += (measured - self._mean_measured) / self._weight
        self._variance = kept * self._variance + delta * (
            size - self._mean_size
        )
        self._covariance = kept * self._covariance + delta * (
            measured - self._mean_measured
        )

    def slope(self) -> float | None:
        """Return the slope; None while there are too few points for it."""
        least = self._weight * (_MIN_VARIATION * self._mean_size) ** 2
        if self._weight < _MIN_WEIGHT or self._variance <= least:
            return None
        return self._covariance / self._variance


def _mean(before: float, observed: float) -> float:
    if not before:
        return observed
    bounded = min(
        max(observed, before / _MAX_STEP_FACTOR), before * _MAX_STEP_FACTOR
    )
    return before + _SMOOTHING * (bounded - before)


def _bounded(learned: float, initial: float) -> float:
    return min(max(learned, initial / _MAX_FACTOR), initial * _MAX_FACTOR)
