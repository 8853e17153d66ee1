"""Storage instances keep the ledger of their own region, and no other one."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, cast

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.client import LedgerClient
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    HomeRequest,
    OpenOutcome,
    OpenTurn,
    RetainedTurn,
    TurnKey,
)
from acaciaramp.coordination.codec import encode
from acaciaramp.coordination.homes import HomeLedger, HomeSeed
from acaciaramp.coordination.messages import View
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.roles.common import RoleContext
from acaciaramp.roles.storage import StorageRole
from acaciaramp.settings.node import SettingsFile
from tests import builders as build

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from acaciaramp.peering.links import Links
    from acaciaramp.peering.messages import Channel

FAR = [InstanceId(f'127.0.0.{number}:7000') for number in (1, 2, 3)]
NEAR = InstanceId('127.0.0.9:7000')
BODY = b'confidential'
UNTIL_MS = 10**15


class LocalLink:
    """Link to an instance in this process."""

    is_connected = True

    def __init__(
        self,
        deployment: Deployment,
        source: InstanceId | None,
        instance: InstanceId,
    ) -> None:
        """Create the link from an instance, or from a client if it is None."""
        self._deployment = deployment
        self._source = source
        self._instance = instance

    async def request(self, _: Channel, body: bytes, wait_ms: int) -> bytes:
        """Handle a request there unless the instance is cut off."""
        self._deployment.requested.append((self._instance, body))
        if {self._source, self._instance} & self._deployment.cut_off:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'cut off')
        role = self._deployment.roles[self._instance]
        return await role._replica.handle_encoded(body)


class Deployment:
    """Three storage instances of the region "far", and one of "near".

    Attributes:
        roles: Their roles by instance.
        cut_off: Instances that cannot be reached.
        requested: Requests that instances got or would have got.
    """

    def __init__(self, folder: pathlib.Path, tasks: TaskGroup) -> None:
        """Create the instances, none of which has a view yet."""
        self.cut_off: set[InstanceId | None] = set()
        self.requested: list[tuple[InstanceId, bytes]] = []
        self.roles = {
            instance: self._make_role(folder / str(number), instance, tasks)
            for number, instance in enumerate((*FAR, NEAR))
        }

    def links_of(self, source: InstanceId | None) -> Links:
        """Return the links of an instance, or those of a client."""
        deployment = self

        class LocalLinks:
            def get(self, instance: InstanceId) -> LocalLink:
                return LocalLink(deployment, source, instance)

        return cast('Links', LocalLinks())

    def publish(self, tolerated_losses: int = 1) -> None:
        """Publish the view that names the home region and its seed."""
        status = self.roles[FAR[0]]._home.status()
        seed = (
            None
            if status is None
            else HomeSeed(status.replica, tolerated_losses)
        )
        home = HomeLedger(region='far', storages=tuple(FAR), seed=seed)
        for role in self.roles.values():
            role._on_view(View(home_ledgers=(home,)))

    def client(self) -> LedgerClient:
        """Return a client of the ledger of the home region."""
        return LedgerClient(
            self.links_of(None), lambda: FAR, SystemClock(), 'far'
        )

    def _make_role(
        self, folder: pathlib.Path, instance: InstanceId, tasks: TaskGroup
    ) -> StorageRole:
        folder.mkdir()
        settings = {
            'instance': instance,
            'role': 'storage',
            'host': instance.partition(':')[0],
            'availability_zone': 'north',
            'region': 'near' if instance == NEAR else 'far',
            'regions': {'north': 'far'},
            'inner_port': 7_000,
            'seeds': ['127.0.0.1:8000'],
            'instance_list': {'address': '127.0.0.9:8000'},
            'data_folder': str(folder),
        }
        path = folder / 'node.jsonc'
        path.write_text(json.dumps(settings), encoding='utf-8')
        context = RoleContext(SettingsFile(str(path)), SystemClock(), tasks)
        context.links = self.links_of(instance)
        return StorageRole(context)


def run(
    folder: pathlib.Path, scenario: Callable[[Deployment], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(30):
                await scenario(Deployment(folder, tasks))
            tasks.cancel_scope.cancel()

    anyio.run(main)


def keep(name: str) -> CloseTurn:
    kept = RetainedTurn(previous=None, content=BODY, until_ms=UNTIL_MS)
    return CloseTurn(turn=TurnKey(build.WORKSPACE, name), kept=kept)


async def wait_for_voters(deployment: Deployment) -> InstanceId:
    """Return the leader once all three instances vote."""
    while True:
        for instance in FAR:
            status = deployment.roles[instance]._home.status()
            if status and status.is_leader and len(status.voters) == 3:
                return instance
        await anyio.sleep(0.05)


def test_body_is_stored_on_the_instances_of_the_region_only(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.publish()
        deployment.publish()
        await wait_for_voters(deployment)
        reply = await deployment.client().close_turn(keep('a'), 10_000)
        assert reply == CloseReply()
        while sum(BODY in stored_bytes(tmp_path, item) for item in '012') < 3:
            await anyio.sleep(0.05)
        assert not (tmp_path / '3' / 'home-ledger').exists()
        assert NEAR not in [instance for instance, _ in deployment.requested]

    run(tmp_path, scenario)


def stored_bytes(folder: pathlib.Path, name: str) -> bytes:
    paths = sorted((folder / name / 'home-ledger').rglob('*'))
    return b''.join(path.read_bytes() for path in paths if path.is_file())


def test_stored_turn_survives_the_loss_of_the_leader(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.publish()
        deployment.publish()
        leader = await wait_for_voters(deployment)
        await deployment.client().close_turn(keep('a'), 10_000)
        deployment.cut_off.add(leader)
        req = OpenTurn(turn=TurnKey(build.WORKSPACE, 'b'), previous='a')
        reply = await deployment.client().open_turn(req, 15_000)
        assert (reply.outcome, reply.chain) == (OpenOutcome.OPENED, BODY)

    run(tmp_path, scenario)


def test_replicas_are_added_if_few_instances_reported_at_the_start(
    tmp_path: pathlib.Path,
) -> None:
    # One copy of each turn would be lost with its disk.
    async def scenario(deployment: Deployment) -> None:
        deployment.publish(tolerated_losses=0)
        deployment.publish(tolerated_losses=0)
        await wait_for_voters(deployment)

    run(tmp_path, scenario)


def test_instance_of_another_region_refuses_the_request(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.publish()
        wire = encode(HomeRequest('far', encode(keep('a'))))
        with pytest.raises(CallError) as caught:
            await deployment.roles[NEAR]._replica.handle_encoded(wire)
        assert caught.value.refusal.code is ErrorCode.BAD_REQUEST

    run(tmp_path, scenario)


def test_nothing_is_created_without_home_regions(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        for role in deployment.roles.values():
            role._on_view(View())
            assert role._home.status() is None

    run(tmp_path, scenario)
    assert not list(tmp_path.glob('*/home-ledger'))
