"""Accepts or refuses documents, in the order of the control group's log."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable

import msgspec

from acaciaramp.documents.model import Document


class Outcome(enum.Enum):
    """What became of a document that was proposed."""

    ACCEPTED = 'accepted'
    SAME = 'same'
    CONFLICT = 'conflict'


class Proposed(msgspec.Struct, frozen=True, kw_only=True):
    """A document that is proposed.

    Attributes:
        environment: Its environment.
        revision: Its revision.
        text: The document as plain JSON, without comments.
        at_ms: Wall time.
    """

    environment: str
    revision: int
    text: str
    at_ms: int

    @property
    def digest(self) -> str:
        """Digest of the content."""
        return hashlib.sha256(self.text.encode()).hexdigest()


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a proposed document.

    Attributes:
        outcome: Accepted, the same as the one in force, or in conflict.
        revision: The revision in force now.
        message: A sentence for the operator.
    """

    outcome: Outcome
    revision: int
    message: str


_encode = msgspec.msgpack.Encoder().encode
_proposed_decoder = msgspec.msgpack.Decoder(Proposed)
_state_decoder = msgspec.msgpack.Decoder(list[Proposed])
_MOST_KEPT = 100

OnChange = Callable[[Document], None]


class DocumentsMachine:
    """All accepted documents; the newest one is in force.

    Attributes:
        history: Accepted documents, oldest first; the oldest are dropped.
    """

    def __init__(self, on_change: OnChange) -> None:
        """Create the machine without a document.

        Args:
            on_change: Told of each document that comes into force.
        """
        self.history: list[Proposed] = []
        self._on_change = on_change

    @property
    def current(self) -> Proposed | None:
        """The document in force."""
        return self.history[-1] if self.history else None

    def apply(self, payload: bytes) -> Judgement:
        """Accept or refuse an encoded proposed document."""
        proposed = _proposed_decoder.decode(payload)
        judgement = self._judge(proposed)
        if judgement.outcome is Outcome.ACCEPTED:
            self.history = [*self.history[1 - _MOST_KEPT :], proposed]
            self._announce()
        return judgement

    def snapshot(self) -> bytes:
        """Return the accepted documents, encoded."""
        return _encode(self.history)

    def restore(self, state: bytes) -> None:
        """Replace the accepted documents by encoded ones."""
        self.history = _state_decoder.decode(state) if state else []
        self._announce()

    def _announce(self) -> None:
        if self.current is not None:
            document = Document.model_validate_json(self.current.text)
            self._on_change(document)

    def _judge(self, proposed: Proposed) -> Judgement:
        current = self.current
        if current is None:
            return _judgement(Outcome.ACCEPTED, proposed.revision, 'accepted')
        if proposed.environment != current.environment:
            return _judgement(
                Outcome.CONFLICT,
                current.revision,
                f'this is the environment "{current.environment}"',
            )
        if proposed.revision == current.revision:
            return _judge_equal(proposed, current)
        if proposed.revision != current.revision + 1:
            return _judgement(
                Outcome.CONFLICT,
                current.revision,
                f'revision {current.revision} is in force, '
                f'so the next one is {current.revision + 1}',
            )
        return _judgement(Outcome.ACCEPTED, proposed.revision, 'accepted')


def encode_document(document: Document, at_ms: int) -> bytes:
    """Return the command that proposes a document."""
    return _encode(
        Proposed(
            environment=document.environment,
            revision=document.revision,
            text=document.model_dump_json(),
            at_ms=at_ms,
        )
    )


def _judge_equal(proposed: Proposed, current: Proposed) -> Judgement:
    if proposed.digest == current.digest:
        return _judgement(
            Outcome.SAME, current.revision, 'this document is in force already'
        )
    return _judgement(
        Outcome.CONFLICT,
        current.revision,
        f'revision {current.revision} has another content',
    )


def _judgement(outcome: Outcome, revision: int, message: str) -> Judgement:
    return Judgement(outcome=outcome, revision=revision, message=message)
