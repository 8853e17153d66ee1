"""Requests to the control instances, their replies and replicated commands."""

from __future__ import annotations

import enum
import sys

import msgspec

from acaciaramp.coordination.homes import HomeLedger, HomeSeed
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
        instance: Address on which other instances reach it, ``HOST:PORT``.
        name: Name that operators use for it.
        role: The role that it runs.
        availability_zone: Availability zone in which it runs.
        region: Region of that availability zone.
        run: Random id of the process, different after each start.
    """

    instance: InstanceId
    name: str
    role: RoleName
    availability_zone: AvailabilityZone
    region: str
    run: str


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint of a service, as the platform's instance list has it.

    Attributes:
        id: Id of the endpoint. Requests carry it, so that a request does not
            reach another endpoint that has been given the same address.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone in which it runs.
        slots: Number of requests that it runs concurrently.
        is_leaving: Whether it must get no new requests.
        born_ms: Wall-clock time of its start in milliseconds; 0 if unknown.
        version: Version of its software; empty if unknown.
        is_cold: Whether the list states that it is cold; None if it says
            nothing. The time that is left is not kept, as each list would then
            change the view.
    """

    id: EndpointId
    service: ServiceName
    host: str
    port: int
    availability_zone: AvailabilityZone
    slots: int
    is_leaving: bool = False
    born_ms: int = 0
    version: str = ''
    is_cold: bool | None = None


class View(msgspec.Struct, frozen=True, kw_only=True):
    """The instances and endpoints that exist, as the leader publishes them.

    Attributes:
        controls: Control instances that report.
        entries: Entry instances that report.
        entry_zones: Their availability zones, in the same order.
        storages: Storage instances that report, in the order in which they
            are preferred as replicas of the ledger.
        ledger_voters: Instances of the ledger's voters, as its leader reports
            them; empty while none does.
        ledger_seed: The replica that bootstraps the ledger.
        retiring: Storage instances to retire.
        endpoints: All endpoints; None while the leader has no recent instance
            list, in which case entry instances read it themselves.
        quarantined: Digests of requests that must not be sent to endpoints.
        is_settled: Whether the leader has led long enough for every live
            instance to have reported to it.
        home_ledgers: Ledgers of single regions; empty unless the routing table
            has ever named home regions.
        evacuated: Availability zones to whose endpoints nothing is sent.
    """

    controls: tuple[InstanceId, ...] = ()
    entries: tuple[InstanceId, ...] = ()
    entry_zones: tuple[AvailabilityZone, ...] = ()
    storages: tuple[InstanceId, ...] = ()
    ledger_voters: tuple[InstanceId, ...] = ()
    ledger_seed: Member | None = None
    retiring: tuple[InstanceId, ...] = ()
    endpoints: tuple[Endpoint, ...] | None = None
    quarantined: tuple[str, ...] = ()
    is_settled: bool = False
    home_ledgers: tuple[HomeLedger, ...] = ()
    evacuated: tuple[str, ...] = ()


class LedgerReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a storage instance's ledger replica.

    Attributes:
        replica: The replica.
        is_leader: Whether it leads the ledger and holds a lease.
        voters: Instances of the ledger's voters; empty unless it leads.
    """

    replica: Member
    is_leader: bool = False
    voters: tuple[InstanceId, ...] = ()


class ViewNumber(msgspec.Struct, frozen=True, order=True):
    """Version of a view, ordered across leaders.

    Attributes:
        term: Term of the leader that published the view.
        count: Sequence number of the view within that term.
    """

    term: int = 0
    count: int = 0


# Generation of the replicated commands. Builds of generation 0 cannot apply
# SeedHomeLedger and Evacuate.
COMMANDS_GENERATION = 1
# Version of instances that need no routing table.
NO_TABLE = sys.maxsize


class FollowRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Long poll: reports that an instance is alive and asks for updates.

    Attributes:
        node: The reporting instance.
        version: Version of the routing table that it has; 0 for none, and
            ``NO_TABLE`` if it needs none.
        number: Number of the view that it has.
        ledger: Status of its ledger replica; None if it has none.
        home_ledger: Status of its replica of the region's ledger, if any.
        commands: Generation of the replicated commands that it can apply.
    """

    node: Node
    version: int = 0
    number: ViewNumber = ViewNumber()
    ledger: LedgerReplicaStatus | None = None
    home_ledger: LedgerReplicaStatus | None = None
    commands: int = 0


class FollowReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to ``FollowRequest``: what is newer than the requester has.

    Attributes:
        version: Version of the newest routing table; 0 for none.
        table: That table, compressed; None if it is not newer or ``delta`` is
            set.
        number: Number of the newest view.
        view: That view, encoded and compressed; None if it is not newer.
        delta: Difference between the requester's version and the newest one.
    """

    version: int
    table: bytes | None = None
    number: ViewNumber = ViewNumber()
    view: bytes | None = None
    delta: bytes | None = None


class GrantRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a token of a workspace's shared rate.

    Attributes:
        workspace: The workspace.
    """

    workspace: WorkspaceId


class GrantReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``GrantRequest``.

    Attributes:
        granted: Number of tokens granted, 0 or 1.
        wait_ms: Milliseconds until a token may be available; None if one was
            granted or none ever will be.
    """

    granted: int
    wait_ms: int | None = None


class ReturnToken(msgspec.Struct, frozen=True, tag=True):
    """Returns a granted token that is not used.

    It is sent once: a token that was returned twice would be granted twice.

    Attributes:
        workspace: The workspace.
    """

    workspace: WorkspaceId


class StatedLimit(msgspec.Struct, frozen=True):
    """Request limit of an endpoint, as an instance heard it.

    Attributes:
        endpoint: Id of the endpoint.
        per_s: Requests per second that it accepts from all instances together.
        age_ms: Milliseconds since the endpoint stated it.
    """

    endpoint: EndpointId
    per_s: float
    age_ms: int


class SlotRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a slot for one request to any of some limited endpoints.

    A request that is sent twice may reserve two slots.

    Attributes:
        limits: Limits of the endpoints, preferred ones first.
        longest_wait_ms: Longest time until the slot, milliseconds.
    """

    limits: tuple[StatedLimit, ...]
    longest_wait_ms: int


class SlotReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``SlotRequest``.

    Attributes:
        endpoint: Endpoint to which the request may be sent; None if no slot is
            free in time.
        wait_ms: Milliseconds until the slot, or until the next one that is
            free if none was reserved.
    """

    endpoint: EndpointId | None
    wait_ms: int


class CrashReport(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint crashed while it ran a request.

    Attributes:
        digest: Digest of the request.
        endpoint: Id of the endpoint, which may start again under it.
        born_ms: Wall-clock time of its start, milliseconds; 0 if unknown.
    """

    digest: str
    endpoint: EndpointId
    born_ms: int = 0


class Done(msgspec.Struct, frozen=True, tag=True):
    """Acknowledges a ``CrashReport`` or a ``ReturnToken``."""


class ReplicaMessage(msgspec.Struct, frozen=True, tag=True):
    """Carries a request between the replicas of the control group.

    Attributes:
        body: The request.
    """

    body: msgs.Request


class ReplicaMessageReply(msgspec.Struct, frozen=True, tag=True):
    """Carries the reply to a request between replicas.

    Attributes:
        body: The reply.
    """

    body: msgs.Reply


class StoreTable(msgspec.Struct, frozen=True, tag=True):
    """Command: stores a routing table if its version is the highest.

    Attributes:
        version: Version of the table.
        body: The table, compressed.
    """

    version: int
    body: bytes


class SeedLedger(msgspec.Struct, frozen=True, tag=True):
    """Command: chooses the replica that bootstraps the ledger.

    Only the first such command has an effect.

    Attributes:
        member: The replica.
    """

    member: Member


class SeedHomeLedger(msgspec.Struct, frozen=True, tag=True):
    """Command: chooses the replica that bootstraps the ledger of a region.

    Only the first such command for a region has an effect.

    Attributes:
        region: The region.
        seed: The replica and the number of disks that may be lost.
    """

    region: str
    seed: HomeSeed


class Evacuate(msgspec.Struct, frozen=True, tag=True):
    """Command: begins or finishes the evacuation of an availability zone.

    Both are idempotent. The zone need not exist.

    Attributes:
        zone: The availability zone.
        has_begun: Whether the evacuation begins.
    """

    zone: str
    has_begun: bool = True


class Retire(msgspec.Struct, frozen=True, tag=True):
    """Command: marks a storage instance for retirement.

    Attributes:
        node: The instance.
    """

    node: Node


class RateCheckpoint(msgspec.Struct, frozen=True):
    """What may have been granted of one workspace's shared rate.

    Attributes:
        allowance: Tokens that the owner may grant until it has stored a newer
            checkpoint.
        by_age: Tokens granted in the window that ended when the checkpoint was
            made, by age in equal parts of the window, newest first; empty if
            unknown.
    """

    allowance: int
    by_age: tuple[int, ...] = ()


class StoreRates(msgspec.Struct, frozen=True, tag=True):
    """Command: stores checkpoints of some workspaces' shared rates.

    Attributes:
        levels: Checkpoints by workspace; the others stay as they are.
    """

    levels: dict[str, RateCheckpoint]


class ReadState(msgspec.Struct, frozen=True, tag=True):
    """Command: reads the newest routing table.

    It goes through the log, so that a deposed leader cannot answer it.

    Attributes:
        known: Version that the reader has; the reply leaves it out.
    """

    known: int = 0


class QueryRetirement(msgspec.Struct, frozen=True, tag=True):
    """Asks whether the retirement of a storage instance is complete.

    Attributes:
        name: Name of the instance.
    """

    name: str


class OrderOutcome(enum.Enum):
    """Outcome of an operator's order, or of a query for its progress.

    Attributes:
        DONE: The order is committed; for a query, the retirement is complete.
        RUNNING: The retirement is in progress.
        UNKNOWN: No instance or no order with this name exists.
        REFUSED: Too few storage instances would remain.
    """

    DONE = 'done'
    RUNNING = 'running'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class OrderReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``RetireOrder`` and ``QueryRetirement``.

    Attributes:
        outcome: Outcome of the order or the query.
    """

    outcome: OrderOutcome


class StateReply(msgspec.Struct, frozen=True, tag=True):
    """Outcome of a command: the newest routing table.

    Attributes:
        version: Version of the table; 0 if there is none.
        body: The table, compressed; set in reply to ``ReadState`` only, and
            empty if there is none or the reader has it.
    """

    version: int
    body: bytes


class RetireOrder(msgspec.Struct, frozen=True, tag=True):
    """An operator's order to retire a storage instance.

    Attributes:
        name: Name of the instance.
    """

    name: str


Command = (
    StoreTable
    | SeedLedger
    | Retire
    | ReadState
    | StoreRates
    | SeedHomeLedger
    | Evacuate
)
ControlRequest = (
    FollowRequest
    | GrantRequest
    | ReturnToken
    | SlotRequest
    | CrashReport
    | ReplicaMessage
    | StoreTable
    | ReadState
    | RetireOrder
    | QueryRetirement
    | Evacuate
)
ControlReply = (
    FollowReply
    | GrantReply
    | SlotReply
    | Done
    | ReplicaMessageReply
    | OrderReply
    | StateReply
)
