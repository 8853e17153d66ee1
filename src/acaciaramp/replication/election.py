"""Elections: standing for leadership and voting."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.state import Role

if TYPE_CHECKING:
    import random

    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.state import ReplicaState


class Election:
    """A replica's part in elections."""

    def __init__(
        self, state: ReplicaState, request: Send, rng: random.Random
    ) -> None:
        """Create the part.

        Args:
            state: The replica's state.
            request: Sends a request to another replica.
            rng: Spreads the elections.
        """
        self._state = state
        self._request = request
        self._rng = rng
        self._stand_now = anyio.Event()

    def stand_now(self) -> None:
        """Stand without waiting for the leader to fall silent."""
        self._stand_now.set()

    def skip_wait(self) -> None:
        """Stand for election without waiting, but only with a pre-vote."""
        state = self._state
        longest_ms = state.timing.election_ms + state.timing.spread_ms
        state.timer_ms = state.clock.now_ms() - longest_ms

    async def wait_for_silence(self) -> None:
        """Return once this replica should stand for election."""
        timing = self._state.timing
        limit_ms = timing.election_ms + self._rng.randint(0, timing.spread_ms)
        while True:
            await self._wait_timer(limit_ms)
            if self._state.is_voter:
                return
            self._stand_now = anyio.Event()

    async def stand(self) -> bool:
        """Stand for election; return whether it was won."""
        state = self._state
        is_handover = self._stand_now.is_set()
        self._stand_now = anyio.Event()
        if not is_handover and not await self._may_stand():
            return False
        state.role = Role.CANDIDATE
        state.leader = None
        state.remember_term(state.term + 1, state.me.instance)
        term = state.term
        await state.store.sync()
        if self._is_over(term):
            return False
        is_won = await self._gather(is_pre_vote=False, is_handover=is_handover)
        if self._is_over(term):
            return False
        if not is_won:
            state.role = Role.FOLLOWER
        return is_won

    async def on_vote(self, req: msgs.VoteRequest) -> msgs.VoteReply:
        """Answer a candidate."""
        state = self._state
        candidate_log = req.last_term, req.last_index
        own_log = state.log.last_term, state.log.last_index
        if req.term < state.term or self._has_leader(req):
            return self._reply(is_granted=False)
        if req.is_pre_vote:
            is_newer = req.term > state.term
            return self._reply(is_granted=is_newer and candidate_log >= own_log)
        if req.term > state.term:
            state.step_down(req.term)
        is_free = state.vote in {None, req.candidate}
        is_granted = is_free and candidate_log >= own_log
        if is_granted:
            state.remember_term(state.term, req.candidate)
            state.timer_ms = state.clock.now_ms()
        await state.store.sync()
        return self._reply(is_granted=is_granted and state.term == req.term)

    async def _may_stand(self) -> bool:
        """Return whether a majority would vote and no leader was heard."""
        heard_ms = self._state.heard_ms
        is_wanted = await self._gather(is_pre_vote=True)
        return is_wanted and self._state.heard_ms == heard_ms

    async def _wait_timer(self, limit_ms: int) -> None:
        """Return when the timer has run out or a leader hands over."""
        state = self._state
        while not self._stand_now.is_set():
            left_ms = state.timer_ms + limit_ms - state.clock.now_ms()
            if left_ms <= 0:
                state.timer_ms = state.clock.now_ms()
                return
            timer = state.clock.timeout(left_ms)
            with contextlib.suppress(TimeoutError), timer:
                await self._stand_now.wait()

    def _is_over(self, term: int) -> bool:
        state = self._state
        return state.term != term or state.role is not Role.CANDIDATE

    async def _gather(
        self, *, is_pre_vote: bool, is_handover: bool = False
    ) -> bool:
        """Ask all voters; return whether a majority voted for this one."""
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
        async with anyio.create_task_group() as tasks:
            for voter in members.voters:
                if voter == state.me:
                    continue
                tasks.start_soon(
                    self._ask, voter, req, granted, members, tasks.cancel_scope
                )
        return len(granted) >= members.majority

    async def _ask(
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

    def _has_leader(self, req: msgs.VoteRequest) -> bool:
        """Return whether another leader may be alive, so that no vote is given.

        A replica that has just started may have heard a leader before. The
        leader itself may stand again: a failed candidate has deposed it.
        """
        state = self._state
        if req.is_handover or state.leader == req.candidate:
            return False
        if state.leader == state.me.instance:
            return True
        silence_ms = state.clock.now_ms() - state.heard_ms
        return silence_ms < state.timing.election_ms

    def _reply(self, *, is_granted: bool) -> msgs.VoteReply:
        return msgs.VoteReply(self._state.term, self._state.me, is_granted)
