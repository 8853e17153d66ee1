"""Accepts or rejects proposed documents, in the order of the replicated log."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable

import msgspec

from acaciaramp.documents.model import Document


class ProposalOutcome(enum.Enum):
    """Outcome of a proposed document.

    Attributes:
        ACCEPTED: The document is in force.
        SAME: A document with equal revision and content is in force already.
        CONFLICT: The document does not follow the one in force.
    """

    ACCEPTED = 'accepted'
    SAME = 'same'
    CONFLICT = 'conflict'


class ProposedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A proposed document, as the log and snapshots store it.

    Attributes:
        environment: Its environment.
        revision: Its revision.
        text: The document as plain JSON, without comments.
        at_ms: Wall-clock time of the proposal in milliseconds.
    """

    environment: str
    revision: int
    text: str
    at_ms: int

    @property
    def digest(self) -> str:
        """SHA-256 digest of the document's text, in hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()


class ProposalResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a proposed document.

    Attributes:
        outcome: Whether it was accepted.
        revision: The revision in force after the proposal.
        message: Explanation for the operator.
    """

    outcome: ProposalOutcome
    revision: int
    message: str


_encode = msgspec.msgpack.Encoder().encode
_proposed_decoder = msgspec.msgpack.Decoder(ProposedDocument)
_state_decoder = msgspec.msgpack.Decoder(list[ProposedDocument])
_MAX_HISTORY = 100

OnChange = Callable[[Document], None]


class DocumentStateMachine:
    """Keeps the accepted documents; the newest one is in force.

    Attributes:
        history: The newest accepted documents, oldest first; at most 100.
    """

    def __init__(self, on_change: OnChange) -> None:
        """Create the state machine without a document.

        Args:
            on_change: Called with each document that comes into force.
        """
        self.history: list[ProposedDocument] = []
        self._on_change = on_change

    @property
    def current(self) -> ProposedDocument | None:
        """The document in force, None before the first one."""
        return self.history[-1] if self.history else None

    def apply(self, payload: bytes) -> ProposalResult:
        """Accept or reject an encoded ``ProposedDocument``."""
        proposed = _proposed_decoder.decode(payload)
        result = self._decide(proposed)
        if result.outcome is ProposalOutcome.ACCEPTED:
            self.history = [*self.history[1 - _MAX_HISTORY :], proposed]
            self._notify_change()
        return result

    def snapshot(self) -> bytes:
        """Return the accepted documents, encoded."""
        return _encode(self.history)

    def restore(self, state: bytes) -> None:
        """Replace the accepted documents; empty bytes remove all of them."""
        self.history = _state_decoder.decode(state) if state else []
        self._notify_change()

    def _notify_change(self) -> None:
        if self.current is not None:
            document = Document.model_validate_json(self.current.text)
            self._on_change(document)

    def _decide(self, proposed: ProposedDocument) -> ProposalResult:
        """Accept the first document, and later the next revision of it."""
        current = self.current
        if current is None:
            return _make_result(
                ProposalOutcome.ACCEPTED, proposed.revision, 'accepted'
            )
        if proposed.environment != current.environment:
            return _make_result(
                ProposalOutcome.CONFLICT,
                current.revision,
                f'this is the environment "{current.environment}"',
            )
        if proposed.revision == current.revision:
            return _decide_same_revision(proposed, current)
        if proposed.revision != current.revision + 1:
            return _make_result(
                ProposalOutcome.CONFLICT,
                current.revision,
                f'revision {current.revision} is in force, '
                f'so the next one is {current.revision + 1}',
            )
        return _make_result(
            ProposalOutcome.ACCEPTED, proposed.revision, 'accepted'
        )


def encode_proposal(document: Document, at_ms: int) -> bytes:
    """Return the encoded command that proposes a document.

    Args:
        document: The document.
        at_ms: Wall-clock time in milliseconds.
    """
    return _encode(
        ProposedDocument(
            environment=document.environment,
            revision=document.revision,
            text=document.model_dump_json(),
            at_ms=at_ms,
        )
    )


def _decide_same_revision(
    proposed: ProposedDocument, current: ProposedDocument
) -> ProposalResult:
    if proposed.digest == current.digest:
        return _make_result(
            ProposalOutcome.SAME,
            current.revision,
            'this document is in force already',
        )
    return _make_result(
        ProposalOutcome.CONFLICT,
        current.revision,
        f'revision {current.revision} has another content',
    )


def _make_result(
    outcome: ProposalOutcome, revision: int, message: str
) -> ProposalResult:
    return ProposalResult(outcome=outcome, revision=revision, message=message)
