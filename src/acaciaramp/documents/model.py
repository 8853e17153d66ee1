"""The model of an environment document."""

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
    """What the endpoints of a service are."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Endpoint(StrictModel):
    """One back end of a service.

    Attributes:
        id: Unique in the document.
        address: Base address, ``http://IP:PORT``.
        availability_zone: Where the endpoint runs.
        slots: Requests in flight at most, over all instances.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    id: ResourceName
    address: HttpAddress
    availability_zone: ResourceName
    slots: PositiveInt = 8
    checks_fencing: bool = True


class RepeatablePath(StrictModel):
    """Calls of a plain service that may run more than once.

    Attributes:
        method: HTTP method.
        prefix: Beginning of the path.
    """

    method: Method
    prefix: UrlPath = '/'


class Service(StrictModel):
    """One service that callers name.

    Attributes:
        name: The name callers use; for engines also the model's name.
        kind: Engine or plain.
        endpoints: The back ends.
        repeatable: Calls that may be repeated (plain services).
        inactivity_ms: Longest silence of an answer under way.
        max_tokens: Output limit where the caller sets none.
    """

    name: ResourceName
    kind: ServiceKind
    endpoints: tuple[Endpoint, ...] = pydantic.Field(min_length=1)
    repeatable: tuple[RepeatablePath, ...] = ()
    inactivity_ms: PositiveInt = 15_000
    max_tokens: PositiveInt = 512


class ProgramLimits(StrictModel):
    """Limits of one program of a workspace.

    Attributes:
        tokens: Largest token budget, also the default one.
        calls: Largest budget of calls, also the default one.
        turns: Most steps of a program.
        deadline_s: Longest life of a program, seconds.
        idle_s: Longest pause between two steps, seconds.
        history_bytes: Largest history of a program.
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
        name: Unique in the document.
        keys: Hashes of the keys that act for the workspace.
        weight: Share of the endpoints against other workspaces.
        rate: Requests per second over all instances together.
        burst: Requests at once over all instances together.
        programs: Limits of each program.
    """

    name: ResourceName
    keys: tuple[KeyHash, ...] = ()
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    rate: Annotated[float, pydantic.Field(gt=0)]
    burst: PositiveInt
    programs: ProgramLimits = ProgramLimits()


class PublicRoute(StrictModel):
    """Plain service calls that need no key.

    Attributes:
        service: The plain service.
        prefix: Beginning of the path.
        methods: HTTP methods.
        workspace: The workspace whose limits the calls count against.
    """

    service: ResourceName
    prefix: UrlPath
    methods: tuple[Method, ...] = ('GET', 'HEAD')
    workspace: ResourceName


class Document(StrictModel):
    """One environment.

    Attributes:
        environment: Its name.
        revision: Its number, one higher for each change.
        stage: Trial or production.
        services: What callers can call.
        workspaces: Who may call.
        routes: Calls that are open to all.
        retention_s: How long an ended program can be read, seconds.
        staleness_s: How long an instance takes keys without hearing the
            control group, seconds.
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
    def _is_consistent(self) -> Document:
        mistakes = [
            *_repeats('service', [item.name for item in self.services]),
            *_repeats('workspace', [item.name for item in self.workspaces]),
            *_repeats('endpoint', self._endpoint_ids()),
            *_repeats('key', self._key_hashes()),
            *self._unknown_names(),
        ]
        if mistakes:
            raise ValueError('; '.join(mistakes))
        return self

    def _endpoint_ids(self) -> list[str]:
        return [end.id for item in self.services for end in item.endpoints]

    def _key_hashes(self) -> list[str]:
        return [key for item in self.workspaces for key in item.keys]

    def _unknown_names(self) -> list[str]:
        plain = {
            item.name
            for item in self.services
            if item.kind is ServiceKind.PLAIN
        }
        known = {item.name for item in self.workspaces}
        mistakes = []
        for route in self.routes:
            if route.service not in plain:
                mistakes.append(f'no plain service "{route.service}"')
            if route.workspace not in known:
                mistakes.append(f'no workspace "{route.workspace}"')
        return mistakes


def _repeats(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    repeated = []
    for name in names:
        if name in seen:
            repeated.append(f'the {kind} "{name}" stands twice')
        seen.add(name)
    return repeated
