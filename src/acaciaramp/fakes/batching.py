"""Continuous batching: every step gives each running sequence one token."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.fakes.model import Completion


class StepTiming(msgspec.Struct, frozen=True, kw_only=True):
    """How fast the stand-in engine works.

    Attributes:
        step_ms: Time of a step with one sequence, milliseconds.
        step_each_ms: Added for each further sequence, milliseconds.
        prefill_tokens_per_ms: Prompt tokens read in a millisecond.
    """

    step_ms: float = 0
    step_each_ms: float = 0
    prefill_tokens_per_ms: float = 0

    def step_duration_ms(self, sequences: int, prefill_tokens: int) -> float:
        """Return the time of a step, in milliseconds."""
        duration = self.step_ms + self.step_each_ms * max(0, sequences - 1)
        if self.prefill_tokens_per_ms:
            duration += prefill_tokens / self.prefill_tokens_per_ms
        return duration


class Sequence:
    """One answer being made.

    Attributes:
        name: Its name, for resuming and cancelling.
        completion: All that it will generate.
        generated: How many deltas have been generated.
        prefill_tokens: Prompt tokens still to be read.
        is_cancelled: Whether it must stop.
    """

    def __init__(
        self, name: str, completion: Completion, prefill_tokens: int
    ) -> None:
        """Create the sequence before its first token."""
        self.name = name
        self.completion = completion
        self.generated = 0
        self.prefill_tokens = prefill_tokens
        self.is_cancelled = False
        self._changed = anyio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether nothing more comes."""
        return self.is_cancelled or self.generated == len(
            self.completion.deltas
        )

    def generate(self, count: int) -> None:
        """Generate ``count`` more deltas."""
        self.generated = min(
            len(self.completion.deltas), self.generated + count
        )
        self._notify()

    def cancel(self) -> None:
        """Stop here."""
        self.is_cancelled = True
        self._notify()

    async def wait_for_more(self, count: int) -> None:
        """Return once more than ``count`` deltas were generated or nothing more comes."""
        while self.generated <= count and not self.is_finished:
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

    def __init__(self, pace: StepTiming, size: int, clock: Clock) -> None:
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
        """Admit a sequence; an engine without step time generates all of it at once."""
        if not self._pace.step_ms:
            sequence.generate(len(sequence.completion.deltas))
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
        self.running = [item for item in self.running if not item.is_finished]
        while self.waiting and len(self.running) < self._size:
            self.running.append(self.waiting.pop(0))
        prefill = sum(item.prefill_tokens for item in self.running)
        duration_ms = self._pace.step_duration_ms(len(self.running), prefill)
        await self._clock.sleep_ms(max(1, round(duration_ms)))
        self.busy_ms += duration_ms
        for sequence in self.running:
            sequence.prefill_tokens = 0
            sequence.generate(1)
