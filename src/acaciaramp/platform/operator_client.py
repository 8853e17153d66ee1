"""Reads the config in force from a control instance."""

from __future__ import annotations

import httpcore

from acaciaramp.errors import AcaciarampError

_OK = 200
_TIMEOUT_S = 5.0


_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    ValueError,
)


class ConfigReadError(AcaciarampError):
    """The config in force cannot be read."""


def read_config(address: str) -> bytes:
    """Return the config in force as JSON.

    Args:
        address: ``HOST:PORT`` for operators of a control instance.

    Raises:
        ConfigReadError: No instance answers there, or it knows no config.
    """
    timeouts = dict.fromkeys(('connect', 'read', 'write'), _TIMEOUT_S)
    url = f'http://{address}/v1/config/read'
    try:
        resp = httpcore.request('GET', url, extensions={'timeout': timeouts})
    except _NETWORK_ERRORS as exc:
        raise ConfigReadError(
            f'{address} does not answer: {type(exc).__name__}'
        ) from None
    if resp.status != _OK:
        raise ConfigReadError(f'{address} answered {resp.status}')
    return resp.content
