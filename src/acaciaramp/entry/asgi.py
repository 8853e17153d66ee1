"""ASGI application of the callers' API: routes, error handling, health."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from acaciaramp.entry import chat, programs, services
from acaciaramp.entry.disconnects import CallerDisconnectedError
from acaciaramp.entry.responses import error_response
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import ASGIApp

    from acaciaramp.entry.context import EntryContext

logger = get_logger('entry')

Handler = Callable[['EntryContext', 'Request'], Awaitable[Response]]

_OK = 200
_UNAVAILABLE = 503
_CLIENT_CLOSED_REQUEST = 499
_NOT_FOUND = 404


def make_app(ctx: EntryContext) -> ASGIApp:
    """Create the application that serves callers.

    Args:
        ctx: Components of the instance that the handlers use.
    """
    routes = [
        _route(ctx, 'POST', '/v1/chat/completions', chat.complete_chat),
        _route(ctx, 'POST', '/v1/programs', programs.create_program),
        _route(ctx, 'GET', '/v1/programs/{program}', programs.show_program),
        _route(ctx, 'DELETE', '/v1/programs/{program}', programs.end_program),
        _route(
            ctx,
            'GET',
            '/v1/programs/{program}/explain',
            programs.explain_program,
        ),
        _route(ctx, 'POST', '/v1/programs/{program}/calls', services.call_tool),
        _route(
            ctx,
            'GET',
            '/v1/programs/{program}/steps/{step}',
            programs.read_step,
        ),
        _service_route(ctx),
        Route('/healthz', _health, methods=['GET']),
        Route('/readyz', functools.partial(_readiness, ctx), methods=['GET']),
    ]
    return Starlette(
        routes=routes,
        exception_handlers={
            _NOT_FOUND: functools.partial(_not_found, ctx),
            405: functools.partial(_method_not_allowed, ctx),
        },
    )


def _route(ctx: EntryContext, method: str, path: str, handle: Handler) -> Route:
    return Route(
        path, functools.partial(_handle_errors, ctx, handle), methods=[method]
    )


def _service_route(ctx: EntryContext) -> Route:
    return Route(
        '/v1/services/{service}/{path:path}',
        functools.partial(_handle_errors, ctx, services.call_service),
        methods=['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'],
    )


async def _handle_errors(
    ctx: EntryContext, handle: Handler, req: Request
) -> Response:
    """Run a handler and convert its exceptions into error responses.

    Status 499, as in nginx, ends a request whose caller has disconnected.
    """
    try:
        return await handle(ctx, req)
    except CallError as exc:
        ctx.metrics.count(Counter.REFUSED, exc.refusal.code)
        return error_response(exc.refusal)
    except (CallerDisconnectedError, ClientDisconnect):
        return Response(status_code=_CLIENT_CLOSED_REQUEST)
    except Exception as exc:
        logger.error_from(
            'Unhandled exception in a handler; responding with an error.', exc
        )
        ctx.metrics.count(Counter.REFUSED, ErrorCode.INTERNAL)
        return error_response(
            CallError(
                ErrorCode.INTERNAL, 'an internal error', Verdict.MAY_HAVE_RUN
            ).refusal
        )


async def _not_found(
    ctx: EntryContext, req: Request, exc: Exception
) -> Response:
    refusal = CallError(ErrorCode.NOT_FOUND, 'there is nothing here').refusal
    ctx.metrics.count(Counter.REFUSED, refusal.code)
    return error_response(refusal)


async def _method_not_allowed(
    ctx: EntryContext, req: Request, exc: Exception
) -> Response:
    refusal = CallError(
        ErrorCode.METHOD_NOT_ALLOWED, 'this method does not go with the path'
    ).refusal
    ctx.metrics.count(Counter.REFUSED, refusal.code)
    return error_response(refusal)


async def _health(req: Request) -> Response:
    return PlainTextResponse('alive\n')


async def _readiness(ctx: EntryContext, req: Request) -> Response:
    if ctx.is_ready():
        return PlainTextResponse('ready\n', status_code=_OK)
    return PlainTextResponse('not ready\n', status_code=_UNAVAILABLE)
