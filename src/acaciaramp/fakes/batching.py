"""Continuous batching: every step gives each running sequence one token."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.fakes.model import Speech


class Pace(msgspec.Struct, frozen=True, kw_only=True):
    """How fast the stand-in engine works.

    Attributes:
        step_ms: Time of a step with one sequence, milliseconds.
        step_each_ms: Added for each further sequence, milliseconds.
        prefill_tokens_per_ms: Prompt tokens read in a millisecond.
    """

    step_ms: float = 0
    step_each_ms: float = 0
    prefill_tokens_per_ms: float = 0

    def of_step(self, sequences: int, prefill_tokens: int) -> float:
        """Return the time of a step, in milliseconds."""
        duration = self.step_ms + self.step_each_ms * max(0, sequences - 1)
        if self.prefill_tokens_per_ms:
            duration += prefill_tokens / self.prefill_tokens_per_ms
        return duration


class Sequence:
    """One answer being made.

    Attributes:
        name: Its name, for resuming and cancelling.
        speech: All that it will say.
        said: How many deltas have been said.
        prefill_tokens: Prompt tokens still to be read.
        is_cancelled: Whether it must stop.
    """

    def __init__(self, name: str, speech: Speech, prefill_tokens: int) -> None:
        """Create the sequence before its first token."""
        self.name = name
        self.speech = speech
        self.said = 0
        self.prefill_tokens = prefill_tokens
        self.is_cancelled = False
        self._changed = anyio.Event()

    @property
    def is_over(self) -> bool:
        """Whether nothing more comes."""
        return self.is_cancelled or self.said == len(self.speech.deltas)

    def say(self, count: int) -> None:
        """Say ``count`` more deltas."""
        self.said = min(len(self.speech.deltas), self.said + count)
        self._notify()

    def cancel(self) -> None:
        """Stop here."""
        self.is_cancelled = True
        self._notify()

    async def wait_after(self, count: int) -> None:
        """Return once more than ``count`` deltas were said or all is over."""
        while self.said <= count and not self.is_over:
            await self._changed.wait()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


class Batch:
    """The sequences of one engine.

    Attributes:
        running: Sequences that get a token in every step.
        waiting: Sequences that wait for a place, oldest first.
        busy_ms: Time spent in steps so far, milliseconds.
    """

    def __init__(self, pace: Pace, size: int, clock: Clock) -> None:
        """Create the empty batch.

        Args:
            pace: How fast the engine works.
            size: Most sequences in one step.
            clock: Paces the steps.
        """
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.busy_ms: float = 0
        self._pace = pace
        self._size = size
        self._clock = clock
        self._work = anyio.Event()

    def add(self, sequence: Sequence) -> None:
        """Admit a sequence; an engine without pace says all of it at once."""
        if not self._pace.step_ms:
            sequence.say(len(sequence.speech.deltas))
            return
        self.waiting.append(sequence)
        self._work.set()

    async def run(self) -> None:
        """Make steps until cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._work = anyio.Event()
                await self._work.wait()
            await self._step()

    async def _step(self) -> None:
        self.running = [item for item in self.running if not item.is_over]
        while self.waiting and len(self.running) < self._size:
            self.running.append(self.waiting.pop(0))
        prefill = sum(item.prefill_tokens for item in self.running)
        duration_ms = self._pace.of_step(len(self.running), prefill)
        await self._clock.sleep_ms(max(1, round(duration_ms)))
        self.busy_ms += duration_ms
        for sequence in self.running:
            sequence.prefill_tokens = 0
            sequence.say(1)
