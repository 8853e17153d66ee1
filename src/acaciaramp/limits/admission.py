"""Rate limiting by shares that instances lend to each other."""

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

_BORROW_INTERVAL_MS = 100

Lender = Callable[[BorrowRequest], Awaitable[BorrowReply]]


class Admission:
    """Admits requests within this instance's shares of the rate limits.

    The shares of all instances add up to the whole rate and burst. An instance
    that runs out of tokens borrows the unused shares of the others.
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
        """Create the admission with equal shares for all instances.

        Args:
            instance: This instance.
            registry: The active document.
            instances: Number of instances.
            wait_ms: Longest wait for a token, milliseconds.
            loan_ms: Duration of the loans requested and longest duration of the
                loans granted, milliseconds.
            clock: Source of time.
            lenders: One function for each other instance, which requests a
                loan from it and raises ``CallError`` on failure.
        """
        self._instance = instance
        self._registry = registry
        self._base_share = 1 / instances
        self._wait_ms = wait_ms
        self._loan_ms = loan_ms
        self._ready_ms = clock.now_ms()
        if lenders:
            self._ready_ms += loan_ms
        self._clock = clock
        self._lenders = lenders
        self._shares: dict[str, Share] = {}
        self._last_borrow_ms: dict[str, int] = {}

    async def wait_until_ready(self) -> None:
        """Return once all loans from before the start have expired."""
        remaining_ms = self._ready_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)

    async def admit(self, workspace: Workspace) -> None:
        """Wait for a token and consume it for one request.

        Raises:
            CallError: No token is available within the longest wait.
        """
        share = self._share_of(workspace)
        if share.try_admit():
            return
        share.waiting += 1
        try:
            await self._wait_for_token(workspace, share)
        finally:
            share.waiting -= 1

    async def handle_borrow(self, req: BorrowRequest) -> BorrowReply:
        """Handle a request for a loan; the loan may be empty."""
        workspace = self._registry.workspaces.get(req.workspace)
        if workspace is None or not 0 < req.duration_ms <= self._loan_ms:
            return BorrowReply([], 0)
        loan = self._share_of(workspace).lend(
            req.duration_ms, yields_fraction=req.borrower < self._instance
        )
        return BorrowReply(*loan)

    async def _wait_for_token(self, workspace: Workspace, share: Share) -> None:
        deadline_ms = self._clock.now_ms() + self._wait_ms
        await self._borrow(workspace, share)
        while not share.try_admit():
            pause_ms = self._retry_ms(share)
            if self._clock.now_ms() + pause_ms > deadline_ms:
                raise CallError(
                    ErrorCode.RATE_LIMITED,
                    f'workspace "{workspace.name}" is over its rate',
                    retry_after_ms=pause_ms,
                )
            await self._clock.sleep_ms(pause_ms)
            await self._borrow(workspace, share)

    def _retry_ms(self, share: Share) -> int:
        """Return the time to the next attempt to get a token, milliseconds.

        With lenders it is at most the interval of loan requests. Without any it
        exceeds the longest wait if no token will ever come.
        """
        wait_ms = share.wait_ms()
        if not self._lenders:
            return self._wait_ms + 1 if wait_ms is None else max(1, wait_ms)
        return (
            _BORROW_INTERVAL_MS
            if wait_ms is None
            else min(max(1, wait_ms), _BORROW_INTERVAL_MS)
        )

    async def _borrow(self, workspace: Workspace, share: Share) -> None:
        """Request loans from all other instances concurrently.

        It does nothing if the last request for the workspace is more recent
        than the borrow interval.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._last_borrow_ms.get(workspace.name)
        if last_ms is not None and now_ms - last_ms < _BORROW_INTERVAL_MS:
            return
        self._last_borrow_ms[workspace.name] = now_ms
        req = BorrowRequest(
            WorkspaceId(workspace.name), self._instance, self._loan_ms
        )
        async with anyio.create_task_group() as tasks:
            for lender in self._lenders:
                tasks.start_soon(self._borrow_from, lender, req, share, now_ms)

    async def _borrow_from(
        self,
        lender: Lender,
        req: BorrowRequest,
        share: Share,
        requested_ms: int,
    ) -> None:
        try:
            reply = await lender(req)
        except CallError:
            return
        share.add_loan(Loan(reply.parts, reply.tokens), requested_ms)

    def _share_of(self, workspace: Workspace) -> Share:
        share = self._shares.get(workspace.name)
        if share is None:
            share = Share(
                workspace, self._base_share, self._ready_ms, self._clock
            )
            self._shares[workspace.name] = share
        share.configure(workspace)
        return share
