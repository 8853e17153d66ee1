"""The table of settings: each value with default, type and effect.

Every value takes effect when the instance is started again, save those whose
description says otherwise.
"""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from acaciaramp.util.validation import StrictModel

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveInt = Annotated[int, pydantic.Field(ge=1)]
ResourceName = Annotated[
    str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
]
KeyHash = Annotated[str, pydantic.Field(pattern='^sha256:[0-9a-f]{64}$')]
Host = Annotated[str, pydantic.Field(min_length=1, max_length=255)]


class ListenAddress(StrictModel):
    """An address on which the instance listens.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: Host = '127.0.0.1'
    port: Port


class Peer(StrictModel):
    """Another instance of the deployment.

    Attributes:
        instance: The other instance's id.
        availability_zone: Where it runs.
        region: The region of its availability zone.
        host: IP address of its inner port.
        port: TCP port of its inner port.
    """

    instance: ResourceName
    availability_zone: ResourceName
    region: ResourceName = 'default'
    host: Host = '127.0.0.1'
    port: Port


class RequestLimits(StrictModel):
    """Limits on what a caller may send.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request line and headers together.
        header_ms: Time in which the headers must have come, milliseconds.
        body_ms: Time in which the body must have come, milliseconds.
        connections: Most open connections of callers.
    """

    body_bytes: PositiveInt = 4_194_304
    header_bytes: PositiveInt = 16_384
    header_ms: PositiveInt = 10_000
    body_ms: PositiveInt = 30_000
    connections: PositiveInt = 4_096


class Retries(StrictModel):
    """How failed attempts are repeated.

    Attributes:
        ratio: Retries added at most for each request sent, as a share of 1.
        reserve: Retries allowed beyond the ratio over the life of a process.
        attempts: Most attempts at one request.
        backoff_ms: First pause between attempts, milliseconds.
        backoff_max_ms: Longest pause between attempts, milliseconds.
    """

    ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    reserve: Annotated[int, pydantic.Field(ge=0)] = 10
    attempts: PositiveInt = 3
    backoff_ms: PositiveInt = 50
    backoff_max_ms: PositiveInt = 2_000


class Statsd(StrictModel):
    """Where counters and timers are sent.

    Attributes:
        host: IP address of the statsd daemon.
        port: UDP port of the statsd daemon.
        prefix: First part of every metric's name.
    """

    host: Host = '127.0.0.1'
    port: Port = 8125
    prefix: Annotated[str, pydantic.Field(min_length=1)] = 'acaciaramp'


class Timeouts(StrictModel):
    """Longest waits of a call inside the system, in milliseconds.

    Attributes:
        rate_ms: For a token of the workspace's rate.
        queue_ms: For a free place at an endpoint.
        previous_step_ms: For the step before to end.
        step_ms: For a whole step, queue and retries included.
        peer_ms: For another instance to answer.
        home_ms: For a program's cell to have a leader.
        drain_ms: For idle moments in a planned stop, before new steps go
            elsewhere.
    """

    rate_ms: PositiveInt = 1_000
    queue_ms: PositiveInt = 30_000
    previous_step_ms: PositiveInt = 30_000
    step_ms: PositiveInt = 600_000
    peer_ms: PositiveInt = 3_000
    home_ms: PositiveInt = 10_000
    drain_ms: PositiveInt = 3_000


class Replication(StrictModel):
    """Times of the replicated logs.

    Attributes:
        heartbeat_ms: Between two messages of a leader, milliseconds.
        election_ms: Silence after which an instance may stand for election,
            milliseconds; the longest is twice as long.
        full_wait_ms: How long a commit waits for the last replica.
        compact_entries: Entries after which a snapshot is made.
    """

    heartbeat_ms: PositiveInt = 150
    election_ms: PositiveInt = 1_000
    full_wait_ms: PositiveInt = 50
    compact_entries: PositiveInt = 2_000


class Tls(StrictModel):
    """Files of the keys for links between instances, in PEM format.

    Attributes:
        certificate: This instance's certificate, for its inner IP address.
        key: Its private key.
        authority: Certificate of the authority of all instances.
    """

    certificate: str
    key: str
    authority: str


class Links(StrictModel):
    """Times of the links between instances.

    Attributes:
        heartbeat_ms: Between two heartbeats, milliseconds.
        silence_ms: Silence after which a link is made anew, milliseconds.
        tls: Certificates for mutual TLS.
        plain: Whether links may be plain TCP without keys.
    """

    heartbeat_ms: PositiveInt = 500
    silence_ms: PositiveInt = 2_000
    tls: Tls | None = None
    plain: bool = False


class Settings(StrictModel):
    """All settings of one instance.

    Attributes:
        instance: This instance's id, unique in the deployment.
        availability_zone: Where this instance runs.
        region: The region of the availability zone.
        callers: Address for callers.
        inner: Address for the other instances.
        operators: Address for operators, if this instance serves them.
        operator_key: Hash of the operators' key.
        peers: The other instances.
        document: File of the environment document.
        instance_list: Address of the platform's instance list, if any.
        data_folder: Folder on a disk that lasts; without it the instance
            remembers nothing over a restart.
        queue_length: Most requests waiting for one service.
        programs: Most programs held in memory.
        loan_ms: How long loans of rate and burst last, milliseconds, equal on
            all instances; an instance serves no caller for that long after its
            start.
        log_level: Least level that is logged.
        limits: Limits on what a caller may send.
        retries: How failed attempts are repeated.
        waits: Longest waits inside the system.
        replication: Times of the replicated logs.
        links: Times of the links between instances.
        statsd: Where metrics go; nothing is sent without it.
    """

    instance: ResourceName
    availability_zone: ResourceName
    region: ResourceName = 'default'
    callers: ListenAddress
    inner: ListenAddress
    operators: ListenAddress | None = None
    operator_key: KeyHash | None = None
    peers: tuple[Peer, ...] = ()
    document: str
    instance_list: str | None = None
    data_folder: str | None = None
    queue_length: PositiveInt = 1_000
    programs: PositiveInt = 10_000
    loan_ms: PositiveInt = 2_000
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    limits: RequestLimits = RequestLimits()
    retries: Retries = Retries()
    waits: Timeouts = Timeouts()
    replication: Replication = Replication()
    links: Links = Links()
    statsd: Statsd | None = None

    @pydantic.model_validator(mode='after')
    def _has_distinct_instances(self) -> Settings:
        names = [self.instance, *(peer.instance for peer in self.peers)]
        if len(set(names)) != len(names):
            raise ValueError('two instances have one id')
        if (self.operators is None) != (self.operator_key is None):
            raise ValueError('operators and operator_key go together')
        if self.peers and self.links.plain == (self.links.tls is not None):
            raise ValueError(
                'links need either "tls", or "plain": true for no keys'
            )
        return self
