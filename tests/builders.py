"""Builders of test data."""

from __future__ import annotations

import itertools
import os
from typing import TYPE_CHECKING, Any

from acaciaramp.coordination.messages import Endpoint, Node
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import Registry, key_hash
from acaciaramp.forwarding.messages import InboundRequest, TurnParams
from acaciaramp.ids import (
    AvailabilityZone,
    EndpointId,
    InstanceId,
    ProgramId,
    ServiceName,
    StepNumber,
    WorkspaceId,
)
from acaciaramp.peering.tls import TlsFiles
from acaciaramp.programs import commands as cmds
from acaciaramp.records import (
    Answer,
    Budget,
    Program,
    StepKind,
    StepRequest,
)
from acaciaramp.routing.model import (
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Target,
    WorkspacePolicy,
)
from acaciaramp.settings.model import Settings
from acaciaramp.settings.node import RoleName

if TYPE_CHECKING:
    import pathlib

    import trustme

PROGRAM = ProgramId('p.entry-1.a')
WORKSPACE = WorkspaceId('medina')
MODEL = ServiceName('conseil-lm')
TOOL = ServiceName('atelier-app')
KEY = 'key-medina'
OTHER_KEY = 'key-sahel'
OPERATOR_KEY = 'key-operators'
FIRST_STEP = StepNumber(1)

_hosts = itertools.count(1)


def loopback_host() -> str:
    """Return a loopback address that no other test process uses."""
    pid = os.getpid()
    number = next(_hosts)
    return f'127.{pid // 250 % 250 + 1}.{pid % 250}.{number % 250 + 1}'


def program(**changes: Any) -> Program:
    """Return a new program."""
    members: dict[str, Any] = {
        'program': PROGRAM,
        'workspace': WORKSPACE,
        'service': MODEL,
        'granted': Budget(10_000, 10),
        'created_ms': 0,
        'deadline_ms': 1_000_000,
        'idle_ms': 100_000,
        'turns': 100,
        'history_bytes': 100_000,
    }
    return Program(**{**members, **changes})


def chat_request(text: str = 'hello', **changes: Any) -> StepRequest:
    """Return a model call with one message."""
    members: dict[str, Any] = {
        'kind': StepKind.CHAT,
        'service': MODEL,
        'repeatable': True,
        'body': b'[{"role":"user","content":"%s"}]' % text.encode(),
        'max_tokens': 10,
    }
    return StepRequest(**{**members, **changes})


def tool_request(**changes: Any) -> StepRequest:
    """Return a tool call that must not be repeated."""
    members: dict[str, Any] = {
        'kind': StepKind.TOOL,
        'service': TOOL,
        'repeatable': False,
        'body': b'{"form":"cone"}',
        'path': '/reservations',
    }
    return StepRequest(**{**members, **changes})


def begin_step(number: int = 1, **changes: Any) -> cmds.BeginStep:
    """Return the command that begins a step."""
    members: dict[str, Any] = {
        'program': PROGRAM,
        'number': StepNumber(number),
        'request': chat_request(),
        'reserved': Budget(100, 1),
        'at_ms': 1,
    }
    return cmds.BeginStep(**{**members, **changes})


def begin_attempt(attempt: int = 0) -> cmds.BeginAttempt:
    """Return the command that begins an attempt at the first step."""
    return cmds.BeginAttempt(
        program=PROGRAM,
        number=FIRST_STEP,
        attempt=attempt,
        endpoint=EndpointId('engine-1'),
        reason='same_zone',
        queued_ms=0,
    )


def answer(prompt: int = 20, completion: int = 5) -> Answer:
    """Return the whole answer of a model call."""
    return Answer(
        status=200,
        body=b'{"role":"assistant","content":"yes"}',
        finish_reason='stop',
        prompt_tokens=prompt,
        completion_tokens=completion,
    )


def endpoint(name: str, address: str = 'http://127.0.0.1:1') -> dict[str, Any]:
    """Return an endpoint as it stands in a document."""
    return {'id': name, 'address': address, 'availability_zone': 'medina-nord'}


def document_tree(
    engines: dict[str, str] | None = None,
    services: dict[str, str] | None = None,
    **changes: Any,
) -> dict[str, Any]:
    """Return a document as it stands in a file.

    Args:
        engines: Addresses of engines by id.
        services: Addresses of plain services by id.
        **changes: Other members.
    """
    engines = engines or {'engine-1': 'http://127.0.0.1:1'}
    services = services or {'atelier-1': 'http://127.0.0.1:2'}
    members: dict[str, Any] = {
        'environment': 'test',
        'revision': 1,
        'services': [
            {
                'name': MODEL,
                'kind': 'engine',
                'endpoints': [endpoint(*item) for item in engines.items()],
            },
            {
                'name': TOOL,
                'kind': 'plain',
                'endpoints': [endpoint(*item) for item in services.items()],
                'repeatable': [{'method': 'GET', 'prefix': '/forms'}],
            },
        ],
        'workspaces': [
            workspace_tree('medina', KEY),
            workspace_tree('sahel', OTHER_KEY),
        ],
        'routes': [
            {'service': TOOL, 'prefix': '/hours', 'workspace': 'medina'}
        ],
    }
    return {**members, **changes}


def workspace_tree(name: str, key: str, **changes: Any) -> dict[str, Any]:
    """Return a workspace as it stands in a document."""
    members = {
        'name': name,
        'keys': [key_hash(key)],
        'rate': 1000,
        'burst': 1000,
    }
    return {**members, **changes}


def document(**changes: Any) -> Document:
    """Return a document."""
    return Document.model_validate(document_tree(**changes))


def registry(**changes: Any) -> Registry:
    """Return a registry of a document."""
    return Registry(document(**changes))


def settings(**changes: Any) -> Settings:
    """Return the settings of a single instance."""
    members: dict[str, Any] = {
        'instance': 'entry-1',
        'availability_zone': 'medina-nord',
        'callers': {'port': 1},
        'inner': {'port': 2},
        'document': 'none',
    }
    return Settings.model_validate({**members, **changes})


def issue_certificate(
    folder: pathlib.Path, authority: trustme.CA, host: str
) -> TlsFiles:
    """Write the files of an instance and return their names."""
    folder.mkdir(exist_ok=True)
    files = TlsFiles(*(str(folder / name) for name in ('cert', 'key', 'ca')))
    issued = authority.issue_cert(host)
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


def route(**changes: Any) -> Route:
    """Return a route of the model service below ``/chat/``."""
    members: dict[str, Any] = {
        'name': 'chat',
        'host': 'example.test',
        'prefix': '/chat/',
        'kind': RouteKind.STREAMING,
        'timeout_ms': 3_000,
        'targets': (Target(MODEL, 1),),
    }
    return Route(**(members | changes))


def routing_table(*routes: Route, **changes: Any) -> RoutingTable:
    """Return a table with one workspace and both services."""
    members: dict[str, Any] = {
        'version': 1,
        'routes': routes or (route(),),
        'services': (
            Service(name=MODEL, tokens_per_event=10),
            Service(name=TOOL),
        ),
        'workspaces': (WorkspacePolicy(name=WORKSPACE, keys=(KEY,)),),
    }
    return RoutingTable(**(members | changes))


def listed_endpoint(name: str = 'e-1', **changes: Any) -> Endpoint:
    """Return an endpoint as the instance list has it."""
    members: dict[str, Any] = {
        'id': EndpointId(name),
        'service': MODEL,
        'host': '127.0.0.1',
        'port': 1,
        'availability_zone': AvailabilityZone('north'),
        'slots': 4,
    }
    return Endpoint(**(members | changes))


def node(name: str, role: RoleName = RoleName.STORAGE) -> Node:
    """Return an instance that reports to the control group."""
    return Node(
        instance=InstanceId(name),
        name=f'machine-{name}',
        role=role,
        availability_zone=AvailabilityZone('north'),
        region='east',
        run='1',
    )


def inbound(**changes: Any) -> InboundRequest:
    """Return a caller's request of the model service."""
    members: dict[str, Any] = {
        'attempt': 'attempt-1',
        'method': 'POST',
        'target': b'/chat/1',
        'host': 'example.test',
        'path': '/chat/1',
        'key': KEY,
        'wait_ms': 3_000,
        'object_key': '',
        'turn': TurnParams(),
        'headers': [(b'host', b'example.test')],
    }
    return InboundRequest(**(members | changes))
