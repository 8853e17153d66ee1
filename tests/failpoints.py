"""Points in the course of a call at which a scenario causes a fault."""

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

_MID_STREAM = 4


class Point(enum.Enum):
    """A step in the course of a call."""

    ADMISSION = 'admission'
    INTENT_APPENDED = 'intent appended'
    INTENT_ACKED = 'intent acked'
    SENT = 'sent'
    FIRST_TOKEN = 'first token'
    MID_STREAM = 'mid-stream'
    OUTCOME_APPENDED = 'outcome appended'
    OUTCOME_ACKED = 'outcome acked'


class Failpoints:
    """Does something the first time that a point is reached.

    Attributes:
        reached: The points that were reached since the trap was set.
    """

    def __init__(self) -> None:
        """Create no trap."""
        self.reached: list[Point] = []
        self._point: Point | None = None
        self._action: Callable[[], None] | None = None
        self._appends_next: Point | None = None

    def arm(self, point: Point, action: Callable[[], None]) -> None:
        """Do something once when a point is reached."""
        self.reached.clear()
        self._point = point
        self._action = action

    def hit(self, point: Point) -> None:
        """Take note of a point; called by what stands around the code."""
        self.reached.append(point)
        action = self._action
        if point is self._point and action is not None:
            self._action = None
            action()

    def expect_append(self, point: Point) -> None:
        """Take the next entry that is appended anywhere for a point."""
        self._appends_next = point

    def on_append(self) -> None:
        """Take note that an entry was appended."""
        point = self._appends_next
        self._appends_next = None
        if point is not None:
            self.hit(point)

    def _on_chunk(self, number: int) -> None:
        if number == 1:
            self.hit(Point.FIRST_TOKEN)
        if number == _MID_STREAM:
            self.hit(Point.MID_STREAM)

    def wrap(self, app: ASGIApp) -> ASGIApp:
        """Return a stand-in that tells when it is asked and answers."""

        async def asked(scope: Scope, receive: Receive, send: Send) -> None:
            chunks = itertools.count(1)

            async def told(message: Message) -> None:
                await send(message)
                if message.get('body'):
                    self._on_chunk(next(chunks))

            is_call = scope['type'] == 'http' and scope['method'] == 'POST'
            if is_call:
                self.hit(Point.SENT)
            await app(scope, receive, told if is_call else send)

        return asked


def patches(failpoints: Failpoints) -> list[tuple[type, str, Any]]:
    """Return what tells the failpoints of points inside an instance.

    Returns:
        Class, name of a method, and what to put in its place.
    """
    commit = ReplicatedLog.commit
    admit = Admission.admit

    async def admit_told(self: Admission, workspace: Any) -> None:
        failpoints.hit(Point.ADMISSION)
        await admit(self, workspace)

    async def commit_told(self: ReplicatedLog, command: cmds.Command) -> None:
        acked: Point | None = None
        if isinstance(command, cmds.Batch):
            failpoints.expect_append(Point.INTENT_APPENDED)
            acked = Point.INTENT_ACKED
        if isinstance(command, cmds.FinishStep):
            failpoints.expect_append(Point.OUTCOME_APPENDED)
            acked = Point.OUTCOME_ACKED
        await commit(self, command)
        if acked is not None:
            failpoints.hit(acked)

    return [
        (Admission, 'admit', admit_told),
        (ReplicatedLog, 'commit', commit_told),
        (NullStore, 'append', _append_told(NullStore, failpoints)),
        (DiskStore, 'append', _append_told(DiskStore, failpoints)),
    ]


def _append_told(kind: type, failpoints: Failpoints) -> Any:
    append = kind.append  # type: ignore[attr-defined]

    def told(self: Any, first: int, entries: Any) -> None:
        append(self, first, entries)
        failpoints.on_append()

    return told
