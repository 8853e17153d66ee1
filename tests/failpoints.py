"""Failpoints in the processing of a call, for fault injection."""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING, Any

from acaciaramp.limits.admission import Admission
from acaciaramp.programs import commands as cmds
from acaciaramp.programs.log import ReplicatedLog
from acaciaramp.replication.store import NullStore
from acaciaramp.storage.store import DiskStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.types import ASGIApp, Message, Receive, Scope, Send

_MID_STREAM_CHUNK = 4


class Failpoint(enum.Enum):
    """A point in the processing of a call at which a fault is injected."""

    ADMISSION = 'admission'
    INTENT_APPENDED = 'intent appended'
    INTENT_ACKED = 'intent acked'
    SENT = 'sent'
    FIRST_TOKEN = 'first token'
    MID_STREAM = 'mid-stream'
    OUTCOME_APPENDED = 'outcome appended'
    OUTCOME_ACKED = 'outcome acked'


class FailpointRegistry:
    """Runs an action the first time that a failpoint is reached.

    Attributes:
        reached: Failpoints reached since the last call of ``arm``.
    """

    def __init__(self) -> None:
        """Create a registry without an armed failpoint."""
        self.reached: list[Failpoint] = []
        self._armed: Failpoint | None = None
        self._action: Callable[[], None] | None = None
        self._next_append: Failpoint | None = None

    def arm(self, point: Failpoint, action: Callable[[], None]) -> None:
        """Run an action once, when a failpoint is next reached."""
        self.reached.clear()
        self._armed = point
        self._action = action

    def hit(self, point: Failpoint) -> None:
        """Record a failpoint; called by the instrumentation."""
        self.reached.append(point)
        action = self._action
        if point is self._armed and action is not None:
            self._action = None
            action()

    def attribute_next_append(self, point: Failpoint) -> None:
        """Hit a failpoint when an entry is next appended to any replica.

        Called when a command is proposed, before its entry is appended.
        """
        self._next_append = point

    def on_append(self) -> None:
        """Hit the failpoint expected for an append to any replica, if any."""
        point = self._next_append
        self._next_append = None
        if point is not None:
            self.hit(point)

    def _on_chunk(self, number: int) -> None:
        if number == 1:
            self.hit(Failpoint.FIRST_TOKEN)
        if number == _MID_STREAM_CHUNK:
            self.hit(Failpoint.MID_STREAM)

    def wrap_app(self, app: ASGIApp) -> ASGIApp:
        """Return the ASGI app with failpoints on requests and chunks."""

        async def instrumented(
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            chunks = itertools.count(1)

            async def send_counted(message: Message) -> None:
                await send(message)
                if message.get('body'):
                    self._on_chunk(next(chunks))

            is_call = scope['type'] == 'http' and scope['method'] == 'POST'
            if is_call:
                self.hit(Failpoint.SENT)
            await app(scope, receive, send_counted if is_call else send)

        return instrumented


def instrumented_methods(
    failpoints: FailpointRegistry,
) -> list[tuple[type, str, Any]]:
    """Return methods that hit the failpoints inside an instance.

    Returns:
        For each method the class, its name and the instrumented replacement.
    """
    commit = ReplicatedLog.commit
    admit = Admission.admit

    async def admit_instrumented(self: Admission, workspace: Any) -> None:
        failpoints.hit(Failpoint.ADMISSION)
        await admit(self, workspace)

    async def commit_instrumented(
        self: ReplicatedLog, command: cmds.Command
    ) -> None:
        acked: Failpoint | None = None
        if isinstance(command, cmds.Batch):
            failpoints.attribute_next_append(Failpoint.INTENT_APPENDED)
            acked = Failpoint.INTENT_ACKED
        if isinstance(command, cmds.FinishStep):
            failpoints.attribute_next_append(Failpoint.OUTCOME_APPENDED)
            acked = Failpoint.OUTCOME_ACKED
        await commit(self, command)
        if acked is not None:
            failpoints.hit(acked)

    return [
        (Admission, 'admit', admit_instrumented),
        (ReplicatedLog, 'commit', commit_instrumented),
        (NullStore, 'append', _make_append(NullStore, failpoints)),
        (DiskStore, 'append', _make_append(DiskStore, failpoints)),
    ]


def _make_append(store: type, failpoints: FailpointRegistry) -> Any:
    append = store.append  # type: ignore[attr-defined]

    def append_instrumented(self: Any, first: int, entries: Any) -> None:
        append(self, first, entries)
        failpoints.on_append()

    return append_instrumented
