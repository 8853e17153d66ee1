"""Elections: campaigns of this replica and votes for others."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.state import Role
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.state import ReplicaState

logger = get_logger('replication')


class Election:
    """Campaigns for leadership and replies to the vote requests of others."""

    def __init__(
        self, state: ReplicaState, request: Send, rng: random.Random
    ) -> None:
        """Create the election side of a replica.

        Args:
            state: The replica's state.
            request: Sends a request to another replica.
            rng: Randomizes the election timeout, so that replicas seldom
                campaign at the same time.
        """
        self._state = state
        self._request = request
        self._rng = rng
        self._campaign_now = anyio.Event()

    def campaign_now(self) -> None:
        """Start a campaign at once, without a pre-vote."""
        self._campaign_now.set()

    def expire_timer(self) -> None:
        """Let the election timer expire; the campaign needs a pre-vote."""
        state = self._state
        longest_ms = state.timing.election_ms + state.timing.spread_ms
        state.election_timer_ms = state.clock.now_ms() - longest_ms

    async def wait_for_timeout(self) -> None:
        """Return once this replica is to campaign.

        That is when it is a voter and its election timer has expired or
        ``campaign_now`` was called.
        """
        limit_ms = self._draw_limit_ms()
        while True:
            await self._wait_for_timer(limit_ms)
            if self._state.is_voter:
                return
            self._campaign_now = anyio.Event()

    async def campaign(self) -> bool:
        """Campaign for leadership; return whether the election was won."""
        state = self._state
        is_handover = self._campaign_now.is_set()
        self._campaign_now = anyio.Event()
        if not is_handover and not await self._wins_pre_vote():
            return False
        state.role = Role.CANDIDATE
        state.leader = None
        state.save_term(state.term + 1, state.me.instance)
        term = state.term
        await state.store.sync()
        if self._is_campaign_over(term):
            return False
        is_won = await self._collect_votes(
            is_pre_vote=False, is_handover=is_handover
        )
        if self._is_campaign_over(term):
            return False
        if not is_won:
            state.role = Role.FOLLOWER
            logger.info(
                'An election was lost; campaigning again after a random time.',
                member=state.me.instance,
                term=term,
            )
        return is_won

    async def on_vote(self, req: msgs.VoteRequest) -> msgs.VoteReply:
        """Reply to the vote request of a candidate."""
        state = self._state
        candidate_log = req.last_term, req.last_index
        own_log = state.log.last_term, state.log.last_index
        if req.term < state.term or self._may_have_leader(req):
            return self._reply(is_granted=False)
        if req.is_pre_vote:
            is_newer = req.term > state.term
            return self._reply(is_granted=is_newer and candidate_log >= own_log)
        if req.term > state.term:
            state.step_down(req.term)
        can_vote = state.vote in {None, req.candidate}
        is_granted = can_vote and candidate_log >= own_log
        if is_granted:
            state.save_term(state.term, req.candidate)
            state.election_timer_ms = state.clock.now_ms()
        await state.store.sync()
        return self._reply(is_granted=is_granted and state.term == req.term)

    def _draw_limit_ms(self) -> int:
        """Return a random time without a leader after which to campaign."""
        timing = self._state.timing
        return timing.election_ms + self._rng.randint(0, timing.spread_ms)

    async def _wins_pre_vote(self) -> bool:
        """Return whether a pre-vote succeeds without contact to a leader."""
        contact_ms = self._state.leader_contact_ms
        is_granted = await self._collect_votes(is_pre_vote=True)
        return is_granted and self._state.leader_contact_ms == contact_ms

    async def _wait_for_timer(self, limit_ms: int) -> None:
        """Return when the election timer expires or a campaign is requested.

        Args:
            limit_ms: Time without contact to a leader, milliseconds.
        """
        state = self._state
        while not self._campaign_now.is_set():
            remaining_ms = (
                state.election_timer_ms + limit_ms - state.clock.now_ms()
            )
            if remaining_ms <= 0:
                state.election_timer_ms = state.clock.now_ms()
                return
            timer = state.clock.timeout(remaining_ms)
            with contextlib.suppress(TimeoutError), timer:
                await self._campaign_now.wait()

    def _is_campaign_over(self, term: int) -> bool:
        state = self._state
        return state.term != term or state.role is not Role.CANDIDATE

    async def _collect_votes(
        self, *, is_pre_vote: bool, is_handover: bool = False
    ) -> bool:
        """Request all votes; return whether a majority granted theirs."""
        state = self._state
        members = state.log.members()
        req = msgs.VoteRequest(
            term=state.term + is_pre_vote,
            candidate=state.me.instance,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            is_pre_vote=is_pre_vote,
            is_handover=is_handover,
        )
        granted = {state.me}
        # The timer began with the campaign. Without a limit that is as random, two
        # candidates that refuse each other would both wait for the reply of a
        # voter that is down, for the same time, and campaign together again.
        timer = state.clock.timeout(self._draw_limit_ms())
        with contextlib.suppress(TimeoutError), timer:
            await self._request_votes(req, granted, members)
        return len(granted) >= members.majority

    async def _request_votes(
        self,
        req: msgs.VoteRequest,
        granted: set[Member],
        members: Members,
    ) -> None:
        """Request all votes until a majority is granted or each is answered."""
        state = self._state
        async with anyio.create_task_group() as tasks:
            for voter in members.voters:
                if voter == state.me:
                    continue
                tasks.start_soon(
                    self._request_vote,
                    voter,
                    req,
                    granted,
                    members,
                    tasks.cancel_scope,
                )

    async def _request_vote(
        self,
        voter: Member,
        req: msgs.VoteRequest,
        granted: set[Member],
        members: Members,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            reply = await self._request(voter.instance, req)
        except PeerError:
            return
        if reply.term > self._state.term:
            self._state.step_down(reply.term)
            scope.cancel()
            return
        is_vote = isinstance(reply, msgs.VoteReply) and reply.is_granted
        if is_vote and reply == msgs.VoteReply(reply.term, voter, True):
            granted.add(voter)
        if len(granted) >= members.majority:
            scope.cancel()

    def _may_have_leader(self, req: msgs.VoteRequest) -> bool:
        """Return whether a leader may be alive, so that no vote is granted.

        A replica that has just started may have heard from a leader before, so
        it waits as well. The leader itself may campaign again: a candidate that
        lost may have deposed it by its later term.
        """
        state = self._state
        if req.is_handover or state.leader == req.candidate:
            return False
        if state.leader == state.me.instance:
            return True
        silence_ms = state.clock.now_ms() - state.leader_contact_ms
        return silence_ms < state.timing.election_ms

    def _reply(self, *, is_granted: bool) -> msgs.VoteReply:
        return msgs.VoteReply(self._state.term, self._state.me, is_granted)
