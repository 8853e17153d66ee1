"""Models of the settings file: each value's type, default and effect.

A changed value takes effect when the instance is restarted, unless its
description says otherwise.
"""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from acaciaramp.util.caller_budget import DEFAULT_MEMORY_MB
from acaciaramp.util.validation import StrictModel

# Admits the default number of connections of callers.
_DEFAULT_DESCRIPTORS = 8_192
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveInt = Annotated[int, pydantic.Field(ge=1)]
ResourceName = Annotated[
    str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
]
KeyHash = Annotated[str, pydantic.Field(pattern='^sha256:[0-9a-f]{64}$')]
Host = Annotated[str, pydantic.Field(min_length=1, max_length=255)]


class ListenAddress(StrictModel):
    """An address that the instance listens on.

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
        availability_zone: The availability zone that it runs in.
        region: The region of that availability zone.
        host: IP address for connections between instances.
        port: TCP port for connections between instances.
    """

    instance: ResourceName
    availability_zone: ResourceName
    region: ResourceName = 'default'
    host: Host = '127.0.0.1'
    port: Port


class RequestLimits(StrictModel):
    """Limits on requests and connections of callers.

    Attributes:
        body_bytes: Maximum size of a request body.
        header_bytes: Maximum size of the request line and headers together.
        header_ms: Time limit for receiving the headers, milliseconds.
        body_ms: Time limit for receiving the body, milliseconds.
        connections: Maximum number of open connections from callers.
    """

    body_bytes: PositiveInt = 4_194_304
    header_bytes: PositiveInt = 16_384
    header_ms: PositiveInt = 10_000
    body_ms: PositiveInt = 30_000
    connections: PositiveInt = 4_096


class Retries(StrictModel):
    """Retry policy for failed attempts.

    Attributes:
        ratio: Retries allowed per first attempt, from 0 to 1.
        reserve: Retries allowed beyond the ratio over the life of a process.
        attempts: Maximum number of attempts per request, the first included.
        backoff_ms: Initial backoff between attempts, milliseconds.
        backoff_max_ms: Maximum backoff between attempts, milliseconds.
    """

    ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    reserve: Annotated[int, pydantic.Field(ge=0)] = 10
    attempts: PositiveInt = 3
    backoff_ms: PositiveInt = 50
    backoff_max_ms: PositiveInt = 2_000


class Statsd(StrictModel):
    """The statsd daemon that counters and timers are sent to.

    Attributes:
        host: IP address of the statsd daemon.
        port: UDP port of the statsd daemon.
        prefix: Prefix of every metric name.
    """

    host: Host = '127.0.0.1'
    port: Port = 8125
    prefix: Annotated[str, pydantic.Field(min_length=1)] = 'acaciaramp'


class Timeouts(StrictModel):
    """Timeouts inside the system, in milliseconds.

    Attributes:
        rate_ms: For a token from the workspace's token bucket.
        queue_ms: For a free slot at an endpoint.
        previous_step_ms: For the program's previous step to end.
        step_ms: For a whole step, including queueing and retries.
        peer_ms: For a reply from another instance.
        home_ms: For a program's cell to have a leader.
        drain_ms: For the cells to become idle in a planned stop, before this
            instance refuses new steps.
    """

    rate_ms: PositiveInt = 1_000
    queue_ms: PositiveInt = 30_000
    previous_step_ms: PositiveInt = 30_000
    step_ms: PositiveInt = 600_000
    peer_ms: PositiveInt = 3_000
    home_ms: PositiveInt = 10_000
    drain_ms: PositiveInt = 3_000


class Replication(StrictModel):
    """Timing and compaction of the replicated logs.

    Attributes:
        heartbeat_ms: Interval between a leader's heartbeats, milliseconds.
        election_ms: Shortest election timeout, milliseconds: how long an
            instance hears no leader before it may campaign. The longest is
            twice as long.
        full_wait_ms: How long a committed proposal waits at most until every
            voter has it, milliseconds.
        compact_entries: Number of entries applied after a snapshot at which
            the log is compacted into the next one.
    """

    heartbeat_ms: PositiveInt = 150
    election_ms: PositiveInt = 1_000
    full_wait_ms: PositiveInt = 50
    compact_entries: PositiveInt = 2_000


class Tls(StrictModel):
    """PEM files for mutual TLS between instances.

    Attributes:
        certificate: This instance's certificate, issued for the IP address of
            its inner port.
        key: Private key of the certificate.
        authority: Certificate of the CA that signs all instances' certificates.
    """

    certificate: str
    key: str
    authority: str


class Links(StrictModel):
    """Timing and TLS of the links between instances.

    Attributes:
        heartbeat_ms: Interval between heartbeats, milliseconds.
        silence_ms: Time without a message from the peer after which a link is
            closed and reopened, milliseconds; also the timeout for opening a
            link.
        tls: Files for mutual TLS; required unless ``plain`` is set.
        plain: Whether links use plain TCP, without authentication.
    """

    heartbeat_ms: PositiveInt = 500
    silence_ms: PositiveInt = 2_000
    tls: Tls | None = None
    plain: bool = False


class Settings(StrictModel):
    """All settings of one instance.

    Attributes:
        instance: This instance's id, unique in the deployment.
        availability_zone: The availability zone that this instance runs in.
        region: The region of that availability zone.
        callers: Address to listen on for callers.
        inner: Address to listen on for other instances.
        operators: Address to listen on for operators; None to serve none.
        operator_key: SHA-256 hash of the operators' key; required together
            with ``operators``.
        peers: The other instances.
        document: Path of the environment document.
        instance_list: URL of the platform's instance list, if there is one.
        data_folder: Directory on a persistent disk; None keeps all state in
            memory, where a restart loses it.
        queue_length: Maximum number of steps that this instance queues for one
            service.
        programs: Maximum number of programs in one cell, including ended
            programs that are still readable.
        loan_ms: Duration of loans of rate and burst, milliseconds. It must be
            the same on all instances: an instance that has peers serves no
            caller for this long after its start, until loans that it made
            before have expired.
        log_level: Minimum level of the messages that are logged.
        limits: Limits on requests and connections of callers.
        retries: Retry policy for failed attempts.
        waits: Timeouts inside the system.
        replication: Timing and compaction of the replicated logs.
        links: Timing and TLS of the links between instances.
        statsd: Daemon that metrics are sent to; None sends none.
        memory_mb: Memory of the process, 10^6 bytes, from which the bounds on
            what is held for callers follow.
        max_descriptors: Descriptors of the process, from which the bound on
            callers' connections follows.
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
    memory_mb: PositiveInt = DEFAULT_MEMORY_MB
    max_descriptors: PositiveInt = _DEFAULT_DESCRIPTORS

    @pydantic.model_validator(mode='after')
    def _validate_combinations(self) -> Settings:
        ids = [self.instance, *(peer.instance for peer in self.peers)]
        if len(set(ids)) != len(ids):
            raise ValueError('two instances share one id')
        if (self.operators is None) != (self.operator_key is None):
            raise ValueError(
                '"operators" and "operator_key" must be set together'
            )
        if self.peers and self.links.plain == (self.links.tls is not None):
            raise ValueError(
                'links need either "tls" or "plain": true, and not both'
            )
        return self
