"""Admits requests within the rate and burst of their workspace."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import WorkspaceId
from acaciaramp.limits.messages import BorrowReply, BorrowRequest
from acaciaramp.limits.share import Loan, Share

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Workspace
    from acaciaramp.documents.registry import Registry
    from acaciaramp.ids import InstanceId

_ASK_AGAIN_MS = 100

Lender = Callable[[BorrowRequest], Awaitable[BorrowReply]]


class Admission:
    """This instance's shares of all workspaces.

    The shares of all instances add up to the whole. An instance that runs out
    borrows from the others what they do not need.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        registry: Registry,
        instances: int,
        wait_ms: int,
        loan_ms: int,
        clock: Clock,
        lenders: list[Lender],
    ) -> None:
        """Create the admission with equal shares.

        Args:
            instance: This instance.
            registry: The document in force.
            instances: Number of instances.
            wait_ms: Longest wait for a token, milliseconds.
            loan_ms: How long loans last, milliseconds; no longer one is given.
            clock: Source of time.
            lenders: Ask the other instances; they raise ``CallError``.
        """
        self._instance = instance
        self._registry = registry
        self._base = 1 / instances
        self._wait_ms = wait_ms
        self._loan_ms = loan_ms
        self._usable_ms = clock.now_ms()
        if lenders:
            self._usable_ms += loan_ms
        self._clock = clock
        self._lenders = lenders
        self._shares: dict[str, Share] = {}
        self._asked_ms: dict[str, int] = {}

    async def wait_until_ready(self) -> None:
        """Return once the loans from before the start have run out."""
        left_ms = self._usable_ms - self._clock.now_ms()
        if left_ms > 0:
            await self._clock.sleep_ms(left_ms)

    async def admit(self, workspace: Workspace) -> None:
        """Return once the workspace may send one more request.

        Raises:
            CallError: No token comes in time.
        """
        share = self._share(workspace)
        if share.try_admit():
            return
        share.waiting += 1
        try:
            await self._wait_token(workspace, share)
        finally:
            share.waiting -= 1

    async def handle_borrow(self, req: BorrowRequest) -> BorrowReply:
        """Lend another instance what is not needed here."""
        workspace = self._registry.workspaces.get(req.workspace)
        if workspace is None or not 0 < req.duration_ms <= self._loan_ms:
            return BorrowReply([], 0)
        loan = self._share(workspace).lend(
            req.duration_ms, gives_way=req.borrower < self._instance
        )
        return BorrowReply(*loan)

    async def _wait_token(self, workspace: Workspace, share: Share) -> None:
        give_up_ms = self._clock.now_ms() + self._wait_ms
        await self._borrow(workspace, share)
        while not share.try_admit():
            pause_ms = self._pause_ms(share)
            if self._clock.now_ms() + pause_ms > give_up_ms:
                raise CallError(
                    ErrorCode.RATE_LIMITED,
                    f'workspace "{workspace.name}" is over its rate',
                    retry_after_ms=pause_ms,
                )
            await self._clock.sleep_ms(pause_ms)
            await self._borrow(workspace, share)

    def _pause_ms(self, share: Share) -> int:
        """Return when a token may come: by itself, or by another loan."""
        wait_ms = share.wait_ms()
        if not self._lenders:
            return self._wait_ms + 1 if wait_ms is None else max(1, wait_ms)
        return (
            _ASK_AGAIN_MS
            if wait_ms is None
            else min(max(1, wait_ms), _ASK_AGAIN_MS)
        )

    async def _borrow(self, workspace: Workspace, share: Share) -> None:
        """Ask every other instance at once, at most ten times a second."""
        now_ms = self._clock.now_ms()
        last_ms = self._asked_ms.get(workspace.name)
        if last_ms is not None and now_ms - last_ms < _ASK_AGAIN_MS:
            return
        self._asked_ms[workspace.name] = now_ms
        req = BorrowRequest(
            WorkspaceId(workspace.name), self._instance, self._loan_ms
        )
        async with anyio.create_task_group() as tasks:
            for lender in self._lenders:
                tasks.start_soon(self._borrow_from, lender, req, share, now_ms)

    async def _borrow_from(
        self, lender: Lender, req: BorrowRequest, share: Share, asked_ms: int
    ) -> None:
        try:
            reply = await lender(req)
        except CallError:
            return
        share.borrow(Loan(reply.parts, reply.tokens), asked_ms)

    def _share(self, workspace: Workspace) -> Share:
        share = self._shares.get(workspace.name)
        if share is None:
            share = Share(workspace, self._base, self._usable_ms, self._clock)
            self._shares[workspace.name] = share
        share.change(workspace)
        return share
