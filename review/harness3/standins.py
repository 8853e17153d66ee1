"""Stand-ins for the platform's list, workers, clients and the operator."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
import socket
import struct
import time

_REASONS = {
    200: 'OK',
    404: 'Not Found',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


class Request:
    """A request as it came over the wire."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_chunked(reader):
    """Yield the parts of a chunked body."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b';')[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Return the next request; None at the end of the channel."""
    try:
        line, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = line.split(' ', 2)
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''.join([part async for part in read_chunked(reader)])
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def reset(writer):
    """Reset a channel."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class InstanceList:
    """The platform's list of workers."""

    def __init__(self, workers):
        self.workers = workers
        self.reads = 0

    async def start(self, address):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader, writer):
        try:
            while await read_request(reader) is not None:
                self.reads += 1
                body = json.dumps(
                    {
                        'instances': [
                            item.entry()
                            for item in self.workers
                            if item.is_listed
                        ],
                        'next': None,
                    }
                ).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker on an address of its own.

    ``behave(worker, request, channel)`` handles a request that begins to run and
    returns whether the channel may be used again.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        host,
        service,
        zone,
        record,
        behave,
        port=0,
        slots=12,
        is_born_listed=True,
    ):
        self.host = host
        self.port = port
        self.service = service
        self.zone = zone
        self.record = record
        self.behave = behave
        self.slots = slots
        self.state = 'ready'
        self.is_listed = True
        self.is_leaving = False
        self._is_born_listed = is_born_listed
        self.runs = []
        self._channels = set()
        self._idle = set()
        self._dropped = set()
        self._new_lifetime()

    def _new_lifetime(self):
        self.id = f'i-{next(self._numbers):03d}{secrets.token_hex(3)}'
        self.born = int(time.time() * 1000)

    def entry(self):
        """Return its entry in the platform's list."""
        entry = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'stage': 'mixed',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'id': self.id,
        }
        if self._is_born_listed:
            entry['born'] = self.born
        return entry

    async def start(self):
        """Listen, on the same port after a crash."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self, back_after_s):
        """End at once: reset all channels, refuse new ones; start anew later."""
        self.record(f'worker {self.id} crashes')
        self._server.close()
        for writer in list(self._channels):
            reset(writer)
        await asyncio.sleep(back_after_s)
        self._new_lifetime()
        await self.start()
        self.record(f'worker {self.id} is back')

    def drop_idle(self):
        """Drop all idle channels without notice: what is sent next is reset."""
        self.record(f'worker {self.id} drops {len(self._idle)} idle channels')
        self._dropped |= self._idle

    async def restart_in_place(self, down_s):
        """Stop, and start again under the same id and address."""
        self.record(f'worker {self.id} stops')
        self._server.close()
        for writer in list(self._channels):
            writer.close()
        await asyncio.sleep(down_s)
        self.is_leaving = False
        self.born = int(time.time() * 1000)
        await self.start()
        self.record(f'worker {self.id} has started again')

    async def _serve(self, reader, writer):
        self._channels.add(writer)
        try:
            is_open = True
            while is_open:
                self._idle.add(writer)
                req = await read_request(reader)
                self._idle.discard(writer)
                if writer in self._dropped:
                    reset(writer)
                    return
                if req is None:
                    return
                is_open = await self._handle(req, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for channels in (self._channels, self._idle, self._dropped):
                channels.discard(writer)
            writer.close()

    async def _handle(self, req, writer):
        attempt = req.get('x-attempt-id')
        expected = req.get('x-expect-instance')
        if expected and expected != self.id:
            await self.answer(writer, req, 421, b'', not_run=True)
            return True
        if req.target.startswith('/healthz'):
            await self.answer(writer, req, 200, b'')
            return True
        self.runs.append(attempt)
        self.record(
            f'worker {self.id} runs {attempt} {req.method} {req.target} body {len(req.body)}'
        )
        return await self.behave(self, req, writer)

    def signature(self, req):
        """Return the signature of an answer."""
        return f'{self.id}.{req.get("x-attempt-id")}'

    async def answer(self, writer, req, status, body, *, not_run=False):
        """Answer with a whole body."""
        headers = (
            f'X-Attempt-Id: {req.get("x-attempt-id")}\r\n'
            f'X-Instance-Load: 1,0,{self.slots}\r\n'
        )
        if self.is_leaving:
            headers += 'Server-Leaving: 1\r\n'
        if not_run:
            headers += 'X-Not-Executed: 1\r\n'
        else:
            headers += f'X-Server-Signature: {self.signature(req)}\r\n'
        writer.write(
            f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await writer.drain()

    async def stream(self, writer, req, events, gap_s=0.02):
        """Answer with events, in chunks, and the end of the stream."""
        writer.write(
            (
                f'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'X-Attempt-Id: {req.get("x-attempt-id")}\r\n'
                f'X-Server-Signature: {self.signature(req)}\r\n'
                f'X-Instance-Load: 1,0,{self.slots}\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        for event in events:
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Answer:
    """What a client got; ``status`` is 0 without an answer."""

    def __init__(
        self, status=0, headers=None, body=b'', is_whole=False, why=''
    ):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole
        self.why = why

    def __str__(self):
        return (
            f'{self.status or "no answer"} {"whole" if self.is_whole else "not whole"}'
            f' {len(self.body)} bytes{" " + self.why if self.why else ""}'
        )


class Client:
    """Sends requests, each on a new channel, as the pages say."""

    def __init__(self, record, key=None):
        self.record = record
        self.key = key

    async def send(
        self,
        address,
        method,
        host,
        path,
        *,
        headers=None,
        body=b'',
        deadline_ms=3000,
    ):
        """Send a request on a new channel; return what came."""
        attempt = secrets.token_hex(8)
        lines = {
            'Host': host,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': str(deadline_ms),
        }
        if self.key:
            lines['Authorization'] = f'Bearer {self.key}'
        if body or method not in {'GET', 'HEAD'}:
            lines['Content-Length'] = str(len(body))
        lines.update(headers or {})
        wire = (
            f'{method} {path} HTTP/1.1\r\n'
            + ''.join(f'{name}: {text}\r\n' for name, text in lines.items())
            + '\r\n'
        )
        self.record(f'client sends {attempt} {method} {path} to {address[0]}')
        try:
            answer = await asyncio.wait_for(
                self._exchange(address, wire.encode() + body),
                deadline_ms / 1000 + 1,
            )
        except TimeoutError:
            answer = Answer(why='time budget passed')
        except OSError as exc:
            answer = Answer(why=repr(exc))
        self.record(f'client got {attempt}: {answer}')
        answer.attempt = attempt
        return answer

    async def _exchange(self, address, wire):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=1 << 20), 1
        )
        answer = Answer()
        try:
            writer.write(wire)
            await writer.drain()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(' ')[1])
            async for part in self._parts(reader, answer.headers):
                answer.body += part
            answer.is_whole = True
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            answer.why = f'channel ended: {type(exc).__name__}'
        finally:
            writer.close()
        return answer

    async def _parts(self, reader, headers):
        if 'chunked' in headers.get('transfer-encoding', ''):
            async for part in read_chunked(reader):
                yield part
        elif 'content-length' in headers:
            yield await reader.readexactly(int(headers['content-length']))
        else:
            while part := await reader.read(65536):
                yield part


class Operator:
    """Sends orders to control machines until one is confirmed."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record

    async def call(self, method, path, body=None, timeout_s=30):
        """Send an order until it gets a clear answer; return status and body."""
        wire = b'' if body is None else json.dumps(body).encode()
        until = time.monotonic() + timeout_s
        for machine in itertools.cycle(self._deployment.of('control')):
            if time.monotonic() > until:
                raise TimeoutError(path)
            status, answer = await self._try(machine, method, path, wire)
            if 200 <= status < 500:
                self._record(
                    f'operator {method} {path} at {machine.name}: {status}'
                )
                return status, answer
            await asyncio.sleep(0.2)

    async def _try(self, machine, method, path, wire):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    *self._deployment.operator_address(machine), limit=1 << 22
                ),
                1,
            )
        except (TimeoutError, OSError):
            return 0, b''
        try:
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(wire)}\r\nConnection: close\r\n\r\n'.encode()
                + wire
            )
            line, headers = await asyncio.wait_for(read_head(reader), 1.5)
            body = await reader.readexactly(
                int(headers.get('content-length', 0))
            )
            return int(line.split(' ')[1]), body
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0, b''
        finally:
            writer.close()


def route(name, kind, service, **fields):
    """A route of the config as the pages show it."""
    base = {
        'name': name,
        'host': 'shop.example',
        'pathPrefix': f'/{name}/',
        'routeKind': kind,
        'timeoutMs': 3000,
        'sloMs': 300,
        'priority': 0,
        'service': service,
        'maxAttempts': 1,
        'retained': False,
        'retentionS': 60.0,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gapTargetMs': 150,
    }
    return {**base, **fields}


def config(version, routes, services, tenants):
    """A config as the pages show it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConns': 150,
                'protocol': 'h1',
                'tls': False,
                **more,
            }
            for name, more in services.items()
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


async def wait_ready(deployment, timeout_s=30):
    """Wait until every entry says that it is ready."""
    until = time.monotonic() + timeout_s
    for machine in deployment.of('entry'):
        while True:
            if time.monotonic() > until:
                raise TimeoutError(f'{machine.name} is not ready')
            if await _is_ready(machine.host, deployment.ready):
                break
            await asyncio.sleep(0.1)


async def _is_ready(host, port):
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1
        )
    except (TimeoutError, OSError):
        return False
    try:
        writer.write(
            b'GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'
        )
        line, _ = await asyncio.wait_for(read_head(reader), 1)
        return line.split(' ')[1] == '200'
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
