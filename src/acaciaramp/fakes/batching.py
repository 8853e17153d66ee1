"""Continuous batching: each step generates one token per running sequence."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.fakes.model import Completion


class StepTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of the batch steps of a fake engine.

    Attributes:
        step_ms: Duration of a step with one sequence, milliseconds.
        step_each_ms: Added per further sequence, milliseconds.
        prefill_tokens_per_ms: Prompt tokens prefilled per millisecond; 0 makes
            prefill instant.
    """

    step_ms: float = 0
    step_each_ms: float = 0
    prefill_tokens_per_ms: float = 0

    def step_duration_ms(self, sequences: int, prefill_tokens: int) -> float:
        """Return the duration of one step in milliseconds.

        Args:
            sequences: Sequences in the batch.
            prefill_tokens: Prompt tokens to prefill in this step.
        """
        duration = self.step_ms + self.step_each_ms * max(0, sequences - 1)
        if self.prefill_tokens_per_ms:
            duration += prefill_tokens / self.prefill_tokens_per_ms
        return duration


class Sequence:
    """One completion that is being generated.

    Attributes:
        name: Stream name, under which it can be resumed and cancelled.
        completion: The completion at its full length.
        generated: Number of deltas generated so far.
        prefill_tokens: Prompt tokens that still need prefill.
        is_cancelled: Whether generation was cancelled.
    """

    def __init__(
        self, name: str, completion: Completion, prefill_tokens: int
    ) -> None:
        """Create the sequence with nothing generated yet."""
        self.name = name
        self.completion = completion
        self.generated = 0
        self.prefill_tokens = prefill_tokens
        self.is_cancelled = False
        self._changed = anyio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether no more deltas will be generated."""
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
        """Stop generating; the deltas so far remain."""
        self.is_cancelled = True
        self._notify()

    async def wait_for_more(self, count: int) -> None:
        """Wait for more than ``count`` deltas, or for the end of the sequence."""
        while self.generated <= count and not self.is_finished:
            await self._changed.wait()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


class Batch:
    """Runs the sequences of one engine in steps.

    Attributes:
        running: Sequences that get one token per step.
        waiting: Sequences that wait for room in the batch, oldest first.
        busy_ms: Time spent in steps so far, milliseconds.
    """

    def __init__(
        self, timing: StepTiming, max_sequences: int, clock: Clock
    ) -> None:
        """Create an empty batch.

        Args:
            timing: Duration of steps; no step time makes the engine instant.
            max_sequences: Maximum number of sequences per step.
            clock: Paces the steps.
        """
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.busy_ms: float = 0
        self._timing = timing
        self._max_sequences = max_sequences
        self._clock = clock
        self._work_available = anyio.Event()

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence; without step time it is generated at once."""
        if not self._timing.step_ms:
            sequence.generate(len(sequence.completion.deltas))
            return
        self.waiting.append(sequence)
        self._work_available.set()

    async def run(self) -> None:
        """Run steps until cancelled; idles while there are no sequences."""
        while True:
            if not self.running and not self.waiting:
                self._work_available = anyio.Event()
                await self._work_available.wait()
            await self._run_step()

    async def _run_step(self) -> None:
        self.running = [item for item in self.running if not item.is_finished]
        while self.waiting and len(self.running) < self._max_sequences:
            self.running.append(self.waiting.pop(0))
        prefill = sum(item.prefill_tokens for item in self.running)
        duration_ms = self._timing.step_duration_ms(len(self.running), prefill)
        await self._clock.sleep_ms(max(1, round(duration_ms)))
        self.busy_ms += duration_ms
        for sequence in self.running:
            sequence.prefill_tokens = 0
            sequence.generate(1)
