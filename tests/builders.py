"""Builders of test data; keyword arguments override the defaults."""

from __future__ import annotations

import itertools
import os
from typing import TYPE_CHECKING, Any

from acaciaramp.coordination.messages import Endpoint, Node
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import Registry, key_hash
from acaciaramp.forwarding.call import Call
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
# JSON escape of half a surrogate pair, which is no character.
HALF_PAIR = bytes((92,)) + b'udcff'

_hosts = itertools.count(1)


def loopback_host() -> str:
    """Return a loopback address unlikely to be used by another test.

    The address is derived from the process id and a counter, so that tests
    may run in parallel without port conflicts.
    """
    pid = os.getpid()
    number = next(_hosts)
    return f'127.{pid // 250 % 250 + 1}.{pid % 250}.{number % 250 + 1}'


def program(**overrides: Any) -> Program:
    """Return a program without steps."""
    fields: dict[str, Any] = {
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
    return Program(**{**fields, **overrides})


def chat_request(text: str = 'hello', **overrides: Any) -> StepRequest:
    """Return a model call with one message."""
    fields: dict[str, Any] = {
        'kind': StepKind.CHAT,
        'service': MODEL,
        'repeatable': True,
        'body': b'[{"role":"user","content":"%s"}]' % text.encode(),
        'max_tokens': 10,
    }
    return StepRequest(**{**fields, **overrides})


def tool_request(**overrides: Any) -> StepRequest:
    """Return a tool call that must not be repeated."""
    fields: dict[str, Any] = {
        'kind': StepKind.TOOL,
        'service': TOOL,
        'repeatable': False,
        'body': b'{"form":"cone"}',
        'path': '/reservations',
    }
    return StepRequest(**{**fields, **overrides})


def begin_step(number: int = 1, **overrides: Any) -> cmds.BeginStep:
    """Return the command that begins a step."""
    fields: dict[str, Any] = {
        'program': PROGRAM,
        'number': StepNumber(number),
        'request': chat_request(),
        'reserved': Budget(100, 1),
        'at_ms': 1,
    }
    return cmds.BeginStep(**{**fields, **overrides})


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
    """Return the complete answer of a model call."""
    return Answer(
        status=200,
        body=b'{"role":"assistant","content":"yes"}',
        finish_reason='stop',
        prompt_tokens=prompt,
        completion_tokens=completion,
    )


def endpoint(name: str, address: str = 'http://127.0.0.1:1') -> dict[str, Any]:
    """Return an endpoint in the JSON form of a document."""
    return {'id': name, 'address': address, 'availability_zone': 'medina-nord'}


def document_tree(
    engines: dict[str, str] | None = None,
    services: dict[str, str] | None = None,
    **overrides: Any,
) -> dict[str, Any]:
    """Return a document in its JSON form.

    Args:
        engines: Addresses of engines by id.
        services: Addresses of plain services by id.
        **overrides: Other keys of the document.
    """
    engines = engines or {'engine-1': 'http://127.0.0.1:1'}
    services = services or {'atelier-1': 'http://127.0.0.1:2'}
    fields: dict[str, Any] = {
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
    return {**fields, **overrides}


def workspace_tree(name: str, key: str, **overrides: Any) -> dict[str, Any]:
    """Return a workspace in the JSON form of a document."""
    fields = {
        'name': name,
        'keys': [key_hash(key)],
        'rate': 1000,
        'burst': 1000,
    }
    return {**fields, **overrides}


def document(**overrides: Any) -> Document:
    """Return a validated document; see ``document_tree``."""
    return Document.model_validate(document_tree(**overrides))


def registry(**overrides: Any) -> Registry:
    """Return the registry of a document; see ``document_tree``."""
    return Registry(document(**overrides))


def settings(**overrides: Any) -> Settings:
    """Return the settings of an instance without peers."""
    fields: dict[str, Any] = {
        'instance': 'entry-1',
        'availability_zone': 'medina-nord',
        'callers': {'port': 1},
        'inner': {'port': 2},
        'document': 'none',
    }
    return Settings.model_validate({**fields, **overrides})


def issue_certificate(
    folder: pathlib.Path, authority: trustme.CA, host: str
) -> TlsFiles:
    """Write the TLS files of an instance and return their paths.

    Args:
        folder: Directory of the files; created if missing.
        authority: Certificate authority that signs the certificate.
        host: Host name or address in the certificate.
    """
    folder.mkdir(exist_ok=True)
    files = TlsFiles(*(str(folder / name) for name in ('cert', 'key', 'ca')))
    issued = authority.issue_cert(host)
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


def route(**overrides: Any) -> Route:
    """Return a streaming route to the model service at ``/chat/``."""
    fields: dict[str, Any] = {
        'name': 'chat',
        'host': 'example.test',
        'prefix': '/chat/',
        'kind': RouteKind.STREAMING,
        'timeout_ms': 3_000,
        'targets': (Target(MODEL, 1),),
    }
    return Route(**(fields | overrides))


def routing_table(*routes: Route, **overrides: Any) -> RoutingTable:
    """Return a routing table with one workspace and both services."""
    fields: dict[str, Any] = {
        'version': 1,
        'routes': routes or (route(),),
        'services': (
            Service(name=MODEL, tokens_per_event=10),
            Service(name=TOOL),
        ),
        'workspaces': (WorkspacePolicy(name=WORKSPACE, keys=(KEY,)),),
    }
    return RoutingTable(**(fields | overrides))


def listed_endpoint(name: str = 'e-1', **overrides: Any) -> Endpoint:
    """Return an endpoint as the instance list reports it."""
    fields: dict[str, Any] = {
        'id': EndpointId(name),
        'service': MODEL,
        'host': '127.0.0.1',
        'port': 1,
        'availability_zone': AvailabilityZone('north'),
        'slots': 4,
    }
    return Endpoint(**(fields | overrides))


def node(name: str, role: RoleName = RoleName.STORAGE) -> Node:
    """Return an instance as it registers with the control group."""
    return Node(
        instance=InstanceId(name),
        name=f'machine-{name}',
        role=role,
        availability_zone=AvailabilityZone('north'),
        region='east',
        run='1',
    )


def inbound(**overrides: Any) -> InboundRequest:
    """Return a caller's request for the model service."""
    fields: dict[str, Any] = {
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
    return InboundRequest(**(fields | overrides))


def call(**overrides: Any) -> Call:
    """Return a call on a route of the model service."""
    fields: dict[str, Any] = {
        'inbound': inbound(),
        'route': route(),
        'service': MODEL,
        'services': {},
        'workspace': None,
        'deadline_ms': 1_000,
    }
    return Call(**(fields | overrides))
