"""Model of the environment document."""

from __future__ import annotations

import enum
from typing import Annotated, Literal

import pydantic

from acaciaramp.settings.model import KeyHash, PositiveInt, ResourceName
from acaciaramp.util.validation import StrictModel

HttpAddress = Annotated[
    str, pydantic.Field(pattern=r'^http://[0-9A-Za-z.:\[\]-]+:[0-9]+$')
]
UrlPath = Annotated[str, pydantic.Field(pattern='^/')]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']


class ServiceKind(enum.Enum):
    """The kind of a service's endpoints.

    Attributes:
        ENGINE: Model engines that answer chat completions.
        PLAIN: Services that are called over plain HTTP.
    """

    ENGINE = 'engine'
    PLAIN = 'plain'


class Endpoint(StrictModel):
    """One back end of a service.

    Attributes:
        id: The endpoint's id, unique in the document.
        address: Base URL, ``http://IP:PORT``.
        availability_zone: The availability zone that the endpoint runs in.
        slots: Maximum number of requests in flight, from all instances
            together; each uses an equal share, but at least one slot.
        checks_fencing: Whether the endpoint rejects control commands with an
            outdated fencing token; not used by the instance.
    """

    id: ResourceName
    address: HttpAddress
    availability_zone: ResourceName
    slots: PositiveInt = 8
    checks_fencing: bool = True


class RepeatablePath(StrictModel):
    """Calls to a plain service that are idempotent and may be retried.

    Attributes:
        method: HTTP method of the calls.
        prefix: Prefix of their paths.
    """

    method: Method
    prefix: UrlPath = '/'


class Service(StrictModel):
    """One service that callers address by name.

    Attributes:
        name: The service's name, unique in the document; for engines also the
            name of the model.
        kind: Engine or plain.
        endpoints: The back ends; at least one.
        repeatable: Calls that may be retried (plain services only).
        inactivity_ms: Maximum time until the response starts, and between two
            parts of it, milliseconds.
        max_tokens: Limit on output tokens of a call whose caller sets none.
    """

    name: ResourceName
    kind: ServiceKind
    endpoints: tuple[Endpoint, ...] = pydantic.Field(min_length=1)
    repeatable: tuple[RepeatablePath, ...] = ()
    inactivity_ms: PositiveInt = 15_000
    max_tokens: PositiveInt = 512


class ProgramLimits(StrictModel):
    """Limits on each program of a workspace.

    Attributes:
        tokens: Maximum token budget, and the default one.
        calls: Maximum call budget, and the default one.
        turns: Maximum number of steps.
        deadline_s: Maximum lifetime of a program, seconds.
        idle_s: Maximum time between two steps, seconds.
        history_bytes: Maximum size of a program's history.
    """

    tokens: PositiveInt = 1_000_000
    calls: PositiveInt = 1_000
    turns: PositiveInt = 1_000
    deadline_s: PositiveInt = 86_400
    idle_s: PositiveInt = 3_600
    history_bytes: PositiveInt = 8_388_608


class Workspace(StrictModel):
    """One tenant.

    Attributes:
        name: The workspace's name, unique in the document.
        keys: SHA-256 hashes of the keys that authenticate the workspace.
        weight: Weight of the workspace in the sharing of endpoints, relative
            to the other workspaces.
        rate: Requests per second, over all instances together.
        burst: Size of the token bucket in requests, over all instances
            together.
        programs: Limits on each program.
    """

    name: ResourceName
    keys: tuple[KeyHash, ...] = ()
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    rate: Annotated[float, pydantic.Field(gt=0)]
    burst: PositiveInt
    programs: ProgramLimits = ProgramLimits()


class PublicRoute(StrictModel):
    """Calls to a plain service that need no key.

    Attributes:
        service: Name of the plain service.
        prefix: Prefix of the path.
        methods: HTTP methods.
        workspace: Name of the workspace whose limits apply to the calls.
    """

    service: ResourceName
    prefix: UrlPath
    methods: tuple[Method, ...] = ('GET', 'HEAD')
    workspace: ResourceName


class Document(StrictModel):
    """The configuration of one environment.

    Attributes:
        environment: The environment's name.
        revision: Revision number; each change raises it by one.
        stage: Trial or production; for operators only.
        services: The services that callers may use.
        workspaces: The tenants.
        routes: Calls that need no key.
        retention_s: How long an ended program stays readable, seconds.
        staleness_s: How long an instance keeps accepting keys without contact
            with the control group, seconds; it would not learn of a revoked
            key.
    """

    environment: ResourceName
    revision: PositiveInt
    stage: Literal['trial', 'production'] = 'trial'
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    routes: tuple[PublicRoute, ...] = ()
    retention_s: PositiveInt = 86_400
    staleness_s: PositiveInt = 3_600

    @pydantic.model_validator(mode='after')
    def _validate_references(self) -> Document:
        errors = [
            *_duplicates('service', [item.name for item in self.services]),
            *_duplicates('workspace', [item.name for item in self.workspaces]),
            *_duplicates('endpoint', self._endpoint_ids()),
            *_duplicates('key', self._key_hashes()),
            *self._dangling_references(),
        ]
        if errors:
            raise ValueError('; '.join(errors))
        return self

    def _endpoint_ids(self) -> list[str]:
        return [
            endpoint.id
            for service in self.services
            for endpoint in service.endpoints
        ]

    def _key_hashes(self) -> list[str]:
        return [key for workspace in self.workspaces for key in workspace.keys]

    def _dangling_references(self) -> list[str]:
        plain_services = {
            item.name
            for item in self.services
            if item.kind is ServiceKind.PLAIN
        }
        workspaces = {item.name for item in self.workspaces}
        errors = []
        for route in self.routes:
            if route.service not in plain_services:
                errors.append(f'no plain service "{route.service}"')
            if route.workspace not in workspaces:
                errors.append(f'no workspace "{route.workspace}"')
        return errors


def _duplicates(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    duplicates = []
    for name in names:
        if name in seen:
            duplicates.append(f'the {kind} "{name}" stands twice')
        seen.add(name)
    return duplicates
