"""Opens, commits and settles turns for an entry instance."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.conversations.messages import (
    BegunStream,
    CloseReply,
    CloseTurn,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    StreamOrigin,
    TurnKey,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId
from acaciaramp.peering.framing import FrameRoom
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.conversations.cache import ChainCache
    from acaciaramp.conversations.client import LedgerClient
    from acaciaramp.conversations.homes import HomeLedgers

logger = get_logger('conversations')

# Time limit for settling a turn in the background. The ledger elects a new
# leader well within this time, even after a power loss of all instances.
_SETTLE_TIMEOUT_MS = 15_000
# How much longer than the time limit of its request a stream may be resumed:
# callers repeat a request several times within their own.
_RESUME_MARGIN_MS = 60_000
# A retained turn is committed before the end of its response is sent; this
# limits the delay. The ledger elects a new leader within this time.
_COMMIT_TIMEOUT_MS = 3_000
# Longest wait of a large turn for those that are being committed.
_ROOM_TIMEOUT_MS = 3_000
# Longest wait for the ledger of a home region: a region that is cut off is not
# awaited, and its ledger elects a new leader within about a second.
_HOME_TIMEOUT_MS = 1_500
# The ledger elects a new leader within about a second.
LEDGER_RETRY_AFTER_MS = 500
# Turns expire after a minute or more, so that room is more likely on a later try.
_ROOM_RETRY_AFTER_MS = 1_000
# Text of a token, with some allowance for other data of events.
_BYTES_PER_TOKEN = 16
_LEAST_OUTPUT_BYTES = 4_096


class TurnPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a turn that is about to be opened.

    Attributes:
        key: Key of the turn.
        program: Program that the turn belongs to, if any.
        budget: Token budget of the program; None if it has none.
        most_tokens: Maximum number of tokens that the turn generates.
        previous: Request id of the retained turn that it continues, if any.
        content: Input of the turn.
        retention_ms: How long the turn is stored; 0 if it is not retained.
        origin: Origin of the stream that it is going to begin; None if it cannot
            be resumed or is not known yet.
        resumes: Request id of the turn whose stream it resumes, if any.
        timeout_ms: Time limit of the request, milliseconds.
        regions: Regions in which it may be stored; None for all.
    """

    key: TurnKey
    program: ProgramId | None
    budget: int | None
    most_tokens: int
    previous: str | None
    content: bytes
    retention_ms: int
    origin: StreamOrigin | None = None
    resumes: str | None = None
    timeout_ms: int = 0
    regions: frozenset[str] | None = None

    @property
    def needs_ledger(self) -> bool:
        """Whether the ledger has to be asked before the turn is sent."""
        has_stream = self.origin is not None or self.resumes is not None
        is_kept = self.retention_ms > 0 or self.previous is not None
        return self._has_budget or has_stream or is_kept

    @property
    def keeps_bytes(self) -> int:
        """Expected size of the content to store; 0 if it is not retained."""
        if not self.retention_ms:
            return 0
        output_bytes = _BYTES_PER_TOKEN * self.most_tokens
        return len(self.content) + max(_LEAST_OUTPUT_BYTES, output_bytes)

    @property
    def belongs_to_program(self) -> bool:
        """Whether it is a turn of a program or continues a retained turn."""
        return self.program is not None or self.previous is not None

    def reservation(self) -> Reservation | None:
        """Return the reservation of the turn, None without a budget."""
        if self.program is None or self.budget is None:
            return None
        return Reservation(
            program=self.program,
            most_tokens=self.most_tokens,
            budget=self.budget,
        )

    @property
    def _has_budget(self) -> bool:
        return self.program is not None and self.budget is not None


class TurnResult(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint generated for a turn.

    Attributes:
        tokens: Number of tokens.
        output: Data of its events, each followed by a line feed.
        endpoint: Id of the endpoint.
    """

    tokens: int
    output: bytes
    endpoint: str = ''


class BoundTurn(msgspec.Struct, frozen=True):
    """Where a turn that is bound to home regions is stored.

    Attributes:
        region: Region whose ledger stores it; empty if it is not retained.
        previous: Request id of the turn before it in that ledger. None if there
            is none, or it is in another ledger, so that the stored content
            begins with the whole chain.
    """

    region: str
    previous: str | None


class OpenedTurn:
    """A turn that may be sent to an endpoint.

    Attributes:
        plan: Parameters of the turn.
        chain: Contents of the turns that it continues, oldest first.
        is_new: Whether it is the first turn of its program.
        endpoint: Endpoint that ran the program's last turn; empty if unknown.
        origin: Origin of the stream, of the resumed one if it resumes one; None
            if none is recorded.
        is_unused: Whether no turn of its program has used or reserved tokens.
        home: Where it is stored if it is bound to home regions.
    """

    def __init__(
        self,
        plan: TurnPlan,
        chain: bytes,
        *,
        is_new: bool,
        endpoint: str = '',
        origin: StreamOrigin | None = None,
        is_unused: bool = False,
    ) -> None:
        """Create the turn from the reply of the ledger."""
        self.plan = plan
        self.chain = chain
        self.is_new = is_new
        self.is_unused = is_unused
        self.endpoint = endpoint
        self.origin = origin
        self.home: BoundTurn | None = None
        self._body: bytes | None = None
        self._origins = 0 if origin is None else 1

    def next_origin_number(self) -> int:
        """Return the number of the next origin that is recorded."""
        self._origins += 1
        return self._origins

    @property
    def body(self) -> bytes:
        """Body of the request to the endpoint: the chain, then the input."""
        if self._body is None:
            self._body = self.chain + self.plan.content
        return self._body

    @property
    def held_bytes(self) -> int:
        """What it holds besides its input: the chain, and the body with it."""
        return len(self.chain) + len(self.body) if self.chain else 0


class TurnManager:
    """Opens turns, stores retained ones and settles the others."""

    def __init__(
        self,
        ledger: LedgerClient,
        cache: ChainCache,
        clock: Clock,
        tasks: TaskGroup,
        homes: HomeLedgers | None = None,
        commits: FrameRoom | None = None,
    ) -> None:
        """Create the manager.

        Args:
            ledger: Client of the ledger.
            cache: Cache of chains.
            clock: Source of time.
            tasks: Task group in which turns are settled in the background.
            homes: Ledgers of single regions; None if there are none.
            commits: Room for the contents of large turns that are being
                committed; None for the default.
        """
        self._ledger = ledger
        self._cache = cache
        self._clock = clock
        self._tasks = tasks
        self._homes = homes
        self._commits = commits or FrameRoom()
        self._pending_settlements = 0

    @property
    def pending_settlements(self) -> int:
        """Number of turns that are being settled in the background."""
        return self._pending_settlements

    async def open(self, plan: TurnPlan, wait_ms: int) -> OpenedTurn:
        """Reserve a turn's tokens and look up the chain that it continues.

        Args:
            plan: Parameters of the turn.
            wait_ms: Time limit, milliseconds.

        Raises:
            CallError: The budget is exhausted, the previous turn is not
                stored, the turn has ended before, or the ledger did not reply
                in time.
        """
        if self._homes is not None and self._homes.binds(plan.regions):
            return await self._open_bound(plan, wait_ms, self._homes)
        if not plan.needs_ledger:
            return OpenedTurn(plan, b'', is_new=True)
        cached = self._cached_chain(plan)
        at_ms = self._clock.wall_ms()
        req = OpenTurn(
            turn=plan.key,
            reservation=plan.reservation(),
            previous=plan.previous,
            has_chain=cached is not None,
            at_ms=at_ms,
            begins=_begun_stream(plan, plan.origin, 1, at_ms),
            resumes=plan.resumes,
            lasts_ms=plan.timeout_ms + _COMMIT_TIMEOUT_MS,
            keeps_bytes=plan.keeps_bytes,
        )
        try:
            reply = await self._ledger.open_turn(req, wait_ms)
        except CallError as exc:
            self.release(plan)
            raise CallError(
                ErrorCode.HOME_UNREACHABLE,
                f'the ledger does not answer: {exc}',
                retry_after_ms=LEDGER_RETRY_AFTER_MS,
            ) from None
        except BaseException:
            # Cancelled: the ledger may have reserved the tokens already.
            self.release(plan)
            raise
        if reply.outcome is not OpenOutcome.OPENED:
            raise _refusal(plan, reply)
        chain = reply.chain if cached is None else cached
        return OpenedTurn(
            plan,
            chain,
            is_new=reply.is_new or not plan.belongs_to_program,
            endpoint=reply.endpoint,
            origin=plan.origin if plan.resumes is None else reply.origin,
            is_unused=reply.is_unused,
        )

    async def record_origin(
        self, turn: OpenedTurn, origin: StreamOrigin, wait_ms: int
    ) -> None:
        """Record another origin of a stream none of whose events was sent yet.

        It is committed to the ledger when this returns.

        Args:
            turn: The turn that begins the stream.
            origin: The new origin.
            wait_ms: Time limit, milliseconds.

        Raises:
            CallError: The ledger did not reply in time.
        """
        number = turn.next_origin_number()
        at_ms = self._clock.wall_ms()
        req = OpenTurn(
            turn=turn.plan.key,
            at_ms=at_ms,
            begins=_begun_stream(turn.plan, origin, number, at_ms),
        )
        await self._ledger.open_turn(req, wait_ms)
        turn.origin = origin

    async def commit(self, turn: OpenedTurn, result: TurnResult) -> None:
        """Settle a complete turn and store it for later turns.

        The turn is committed to the ledger when this returns. Its content is held
        several times meanwhile, so that large turns wait for each other.

        Args:
            turn: The turn.
            result: What the endpoint generated.

        Raises:
            CallError: There was no room in time, the ledger did not reply in
                time, or the turn that this one continues has expired.
        """
        size = len(turn.chain) + len(turn.plan.content) + len(result.output)
        async with contextlib.AsyncExitStack() as stack:
            try:
                with self._clock.timeout(_ROOM_TIMEOUT_MS):
                    await stack.enter_async_context(self._commits.taken(size))
            except TimeoutError:
                raise CallError(
                    ErrorCode.OVERLOADED,
                    'other large turns are being committed',
                ) from None
            if turn.home is None:
                await self._commit_unbound(turn, result)
            else:
                await self._commit_bound(turn, turn.home, result)

    def settle(self, plan: TurnPlan, tokens: int, endpoint: str = '') -> None:
        """Settle a turn in the background; nothing happens without a budget.

        Args:
            plan: Parameters of the turn.
            tokens: Number of tokens that it generated.
            endpoint: Endpoint that ran it; empty if none did.
        """
        if plan.reservation() is None:
            return
        req = CloseTurn(
            turn=plan.key,
            program=plan.program,
            tokens=tokens,
            at_ms=self._clock.wall_ms(),
            endpoint=endpoint,
        )
        self._pending_settlements += 1
        self._tasks.start_soon(self._settle, req)

    def release(self, plan: TurnPlan) -> None:
        """Release the reservation of a turn that no endpoint has run."""
        self.settle(plan, 0)

    async def _open_bound(
        self, plan: TurnPlan, wait_ms: int, homes: HomeLedgers
    ) -> OpenedTurn:
        """Open a turn whose content may be stored in some regions only.

        Raises:
            CallError: As ``open``, or no ledger of these regions exists.
        """
        usable = homes.usable(plan.regions or frozenset())
        if not usable and (plan.retention_ms or plan.previous is not None):
            raise CallError(
                ErrorCode.HOME_REGION_UNAVAILABLE,
                'no ledger of the home regions is known',
                retry_after_ms=LEDGER_RETRY_AFTER_MS,
            )
        home_region = usable[0] if usable and plan.retention_ms else ''
        chain = b''
        previous: str | None = None
        if plan.previous is not None:
            found_in, chain = await self._find_chain(
                plan, min(wait_ms, _HOME_TIMEOUT_MS), usable
            )
            previous = plan.previous if found_in == home_region else None
        # The ledger of all regions gets neither the content nor the chain.
        opened = await self.open(
            msgspec.structs.replace(
                plan, previous=None, content=b'', retention_ms=0, regions=None
            ),
            wait_ms,
        )
        turn = OpenedTurn(
            plan,
            chain,
            is_new=opened.is_new and plan.previous is None,
            endpoint=opened.endpoint,
            origin=opened.origin,
        )
        turn.home = BoundTurn(home_region, previous)
        return turn

    async def _find_chain(
        self, plan: TurnPlan, wait_ms: int, usable: list[str]
    ) -> tuple[str | None, bytes]:
        """Return the region of the ledger that has a chain, and the chain.

        A turn that was stored before its route or workspace was bound, or under
        other home regions, is found in another ledger than later ones; the region
        is None for the ledger of all regions.

        Raises:
            CallError: No ledger has the chain, or one of them does not reply.
        """
        assert self._homes is not None
        cached = self._cached_chain(plan)
        req = OpenTurn(
            turn=plan.key,
            previous=plan.previous,
            has_chain=cached is not None,
            at_ms=self._clock.wall_ms(),
            lasts_ms=plan.timeout_ms + _COMMIT_TIMEOUT_MS,
        )
        for region in (*usable, None):
            client = self._ledger
            if region is not None:
                client = self._homes.client(region)
            try:
                reply = await client.open_turn(req, wait_ms)
            except CallError as exc:
                raise CallError(
                    ErrorCode.HOME_REGION_UNAVAILABLE,
                    f'the ledger of the home region does not answer: {exc}',
                    retry_after_ms=LEDGER_RETRY_AFTER_MS,
                ) from None
            if reply.outcome is OpenOutcome.OPENED:
                return region, reply.chain if cached is None else cached
        raise _refusal(plan, reply)

    async def _commit_unbound(
        self, turn: OpenedTurn, result: TurnResult
    ) -> None:
        """Store a complete turn in the ledger of all regions.

        Raises:
            CallError: As ``commit``.
        """
        plan = turn.plan
        reply = await self._ledger.close_turn(
            self._close_command(plan, result), _COMMIT_TIMEOUT_MS
        )
        _check_stored(plan, reply)
        size = len(turn.chain) + len(plan.content) + len(result.output)
        if self._cache.has_room(size):
            chain = turn.chain + plan.content + result.output
            self._cache.put(plan.key, chain)

    def _close_command(self, plan: TurnPlan, result: TurnResult) -> CloseTurn:
        now_ms = self._clock.wall_ms()
        return CloseTurn(
            turn=plan.key,
            program=plan.program,
            tokens=result.tokens,
            kept=RetainedTurn(
                previous=plan.previous,
                content=plan.content + result.output,
                until_ms=now_ms + plan.retention_ms,
            ),
            at_ms=now_ms,
            endpoint=result.endpoint,
        )

    async def _commit_bound(
        self, turn: OpenedTurn, home: BoundTurn, result: TurnResult
    ) -> None:
        """Store a complete turn in its region, then settle its tokens.

        Raises:
            CallError: The region's ledger did not reply in time, or the turn
                that this one continues has expired.
        """
        assert self._homes is not None
        plan = turn.plan
        now_ms = self._clock.wall_ms()
        whole = turn.chain + plan.content + result.output
        content = whole
        if home.previous is not None:
            content = plan.content + result.output
        req = CloseTurn(
            turn=plan.key,
            kept=RetainedTurn(
                previous=home.previous,
                content=content,
                until_ms=now_ms + plan.retention_ms,
            ),
            at_ms=now_ms,
        )
        client = self._homes.client(home.region)
        reply = await client.close_turn(req, _COMMIT_TIMEOUT_MS)
        _check_stored(plan, reply)
        self.settle(plan, result.tokens, result.endpoint)
        if self._homes.may_cache(plan.regions):
            self._cache.put(plan.key, whole)

    async def _settle(self, req: CloseTurn) -> None:
        try:
            await self._ledger.close_turn(req, _SETTLE_TIMEOUT_MS)
        except CallError as exc:
            logger.warning(
                'A turn could not be settled; its whole reservation stays used.',
                attempt=req.turn.attempt,
                program=req.program,
                tokens=req.tokens,
                reason=exc,
            )
        finally:
            self._pending_settlements -= 1

    def _cached_chain(self, plan: TurnPlan) -> bytes | None:
        if plan.previous is None:
            return None
        key = TurnKey(plan.key.workspace, plan.previous)
        return self._cache.get(key)


def _begun_stream(
    plan: TurnPlan, origin: StreamOrigin | None, number: int, at_ms: int
) -> BegunStream | None:
    """Return the stream that a turn begins; None without an origin.

    Args:
        plan: Parameters of the turn.
        origin: Origin of the stream.
        number: Number of the origin.
        at_ms: Wall-clock time of the command.
    """
    if origin is None:
        return None
    until_ms = at_ms + plan.timeout_ms + _RESUME_MARGIN_MS
    return BegunStream(origin=origin, number=number, until_ms=until_ms)


def _check_stored(plan: TurnPlan, reply: CloseReply) -> None:
    """Check that the ledger has stored a turn.

    Raises:
        CallError: It has not.
    """
    if not reply.has_room:
        raise CallError(
            ErrorCode.LEDGER_FULL, 'the ledger has no room to store the turn'
        )
    if not reply.is_stored:
        raise CallError(
            ErrorCode.UNKNOWN_STEP,
            f'the turn "{plan.previous}" that it continues has expired',
        )


def _refusal(plan: TurnPlan, reply: OpenReply) -> CallError:
    """Return the error for a turn that the ledger does not open."""
    match reply.outcome:
        case OpenOutcome.EXHAUSTED:
            return CallError(
                ErrorCode.BUDGET_EXHAUSTED,
                f'{reply.spent} of {plan.budget} tokens are used or reserved, '
                f'with {reply.under_way} turns under way or broken off; '
                f'the turn may need {plan.most_tokens}',
            )
        case OpenOutcome.UNKNOWN_TURN:
            return CallError(
                ErrorCode.UNKNOWN_STEP, f'there is no turn "{plan.previous}"'
            )
        case OpenOutcome.NO_ROOM:
            return CallError(
                ErrorCode.LEDGER_FULL,
                'the ledger has no room for another turn of this size',
                retry_after_ms=_ROOM_RETRY_AFTER_MS,
            )
        case OpenOutcome.TOO_LONG:
            return CallError(
                ErrorCode.BODY_TOO_LARGE,
                f'the turns before it, since "{plan.previous}", are too long',
            )
        case OpenOutcome.UNKNOWN_STREAM:
            return CallError(
                ErrorCode.UNKNOWN_STREAM,
                'it is not known which endpoints can go on with the stream of '
                f'request "{plan.resumes}"',
            )
        case _:
            return CallError(
                ErrorCode.BAD_REQUEST,
                f'a request "{plan.key.attempt}" has ended before',
            )
