"""Requests to the control instances and their replies."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.ids import (
    AvailabilityZone,
    EndpointId,
    InstanceId,
    ServiceName,
    WorkspaceId,
)
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.members import Member
from acaciaramp.settings.node import RoleName


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """One instance as it describes itself.

    Attributes:
        instance: Its address for other instances.
        name: The name that operators know it by.
        role: What it does.
        availability_zone: Where it stands.
        region: The region of that availability zone.
        run: Differs for each start of its process.
    """

    instance: InstanceId
    name: str
    role: RoleName
    availability_zone: AvailabilityZone
    region: str
    run: str


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint of a service, by the platform's instance list.

    Attributes:
        id: Names it; requests carry it, so that an address that is used
            again does not mislead.
        service: The service that it belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Where it stands.
        slots: Requests that it runs at once.
        is_leaving: Whether it must get no more requests.
        born_ms: Wall time of its start; 0 if unknown.
    """

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    availability_zone: AvailabilityZone
    slots: int
    is_leaving: bool = False
    born_ms: int = 0


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Which instances and endpoints there are.

    Attributes:
        controls: Control instances that answer.
        entries: Entry instances that answer.
        storages: Storage instances that answer.
        ledger_seed: The replica that the ledger begins with.
        retiring: Storage instances that are to be emptied.
        endpoints: Endpoints; None until the list was read.
        quarantined: Digests of requests that must not reach endpoints.
        is_settled: Whether every instance had time to report.
    """

    controls: tuple[InstanceId, ...] = ()
    entries: tuple[InstanceId, ...] = ()
    storages: tuple[InstanceId, ...] = ()
    ledger_seed: Member | None = None
    retiring: tuple[InstanceId, ...] = ()
    endpoints: tuple[Endpoint, ...] | None = None
    quarantined: tuple[str, ...] = ()
    is_settled: bool = False


class LedgerReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a storage instance says of its replica.

    Attributes:
        replica: Its replica.
        is_leader: Whether it leads the ledger with a quorum.
        voters: The instances whose majority decides, if it leads.
    """

    replica: Member
    is_leader: bool = False
    voters: tuple[InstanceId, ...] = ()


class ViewNumber(msgspec.Struct, frozen=True, order=True):
    """Orders the views of all leaders.

    Attributes:
        term: The leader's term.
        count: Counts the leader's views.
    """

    term: int = 0
    count: int = 0


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports that an instance is alive and asks what is new.

    Attributes:
        node: The instance.
        version: Version of the table that it has; 0 for none.
        number: Number of the view that it has.
        ledger: Its replica of the ledger, if it has one.
    """

    node: Node
    version: int = 0
    number: ViewNumber = ViewNumber()
    ledger: LedgerReplicaStatus | None = None


class FollowReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What is new.

    Attributes:
        version: Version of the newest table; 0 for none.
        table: That table as operators sent it; None if it is not new.
        number: Number of the newest view.
        view: That view; None if it is not new.
    """

    version: int
    table: bytes | None = None
    number: ViewNumber = ViewNumber()
    view: View | None = None


class GrantRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a token of a workspace's common rate.

    Attributes:
        workspace: Whose rate.
        is_new: Whether they are for a program that has not begun.
    """

    workspace: WorkspaceId
    is_new: bool


class GrantReply(msgspec.Struct, frozen=True, tag=True):
    """Answers whether there is a token.

    Attributes:
        granted: How many may be used, one or none.
        wait_ms: When more may be had, milliseconds; None for never.
    """

    granted: int
    wait_ms: int | None = None


class CrashReport(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint died while it ran a request.

    Attributes:
        digest: Digest of the request.
        endpoint: The endpoint.
    """

    digest: str
    endpoint: EndpointId


class Done(msgspec.Struct, frozen=True, tag=True):
    """Answers a report."""


class ReplicaMessage(msgspec.Struct, frozen=True, tag=True):
    """Carries a message between the replicas of the control group.

    Attributes:
        body: The message.
    """

    body: msgs.Request


class ReplicaMessageReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a message between replicas.

    Attributes:
        body: The reply.
    """

    body: msgs.Reply


class StoreTable(msgspec.Struct, frozen=True, tag=True):
    """Puts a routing table into force, if it is the newest.

    Attributes:
        version: Its version.
        body: The table as operators sent it.
    """

    version: int
    body: bytes


class SeedLedger(msgspec.Struct, frozen=True, tag=True):
    """Says which replica the ledger begins with; the first one counts.

    Attributes:
        member: The replica.
    """

    member: Member


class Retire(msgspec.Struct, frozen=True, tag=True):
    """Asks that a storage instance be emptied.

    Attributes:
        node: The instance.
    """

    node: Node


class RateLevel(msgspec.Struct, frozen=True):
    """What the owner of a common rate promises.

    Attributes:
        tokens: Tokens that it will not grant.
        allowance: Tokens that it may grant above them.
    """

    tokens: float
    allowance: int


class StoreRates(msgspec.Struct, frozen=True, tag=True):
    """Stores what the owner of the common rates promises.

    Attributes:
        levels: Its promises by workspace.
    """

    levels: dict[str, RateLevel]


class ReadState(msgspec.Struct, frozen=True, tag=True):
    """Reads the newest state; being a command, no old leader can answer it."""


class QueryRetirement(msgspec.Struct, frozen=True, tag=True):
    """Asks whether a storage instance is empty.

    Attributes:
        name: The instance's name.
    """

    name: str


class OrderOutcome(enum.Enum):
    """What became of an operator's order.

    Attributes:
        DONE: It is carried out.
        RUNNING: It is being carried out.
        UNKNOWN: There is no such instance or order.
        REFUSED: Too few instances would be left.
    """

    DONE = 'done'
    RUNNING = 'running'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class OrderReply(msgspec.Struct, frozen=True, tag=True):
    """Answers an operator's order.

    Attributes:
        outcome: What became of it.
    """

    outcome: OrderOutcome


class StateReply(msgspec.Struct, frozen=True, tag=True):
    """Answers with the newest table.

    Attributes:
        version: Its version; 0 if there is none.
        body: The table as operators sent it.
    """

    version: int
    body: bytes


class RetireOrder(msgspec.Struct, frozen=True, tag=True):
    """An operator's order to empty a storage instance.

    Attributes:
        name: The instance's name.
    """

    name: str


Command = StoreTable | SeedLedger | Retire | ReadState | StoreRates
ControlRequest = (
    FollowRequest
    | GrantRequest
    | CrashReport
    | ReplicaMessage
    | StoreTable
    | ReadState
    | RetireOrder
    | QueryRetirement
)
ControlReply = (
    FollowReply
    | GrantReply
    | Done
    | ReplicaMessageReply
    | OrderReply
    | StateReply
)
