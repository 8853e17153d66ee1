"""Validation of settings that depend on each other."""

from __future__ import annotations

from typing import Any

import pydantic
import pytest

from tests import builders as build

_PEER = {'instance': 'entry-2', 'availability_zone': 'sahel', 'port': 3}
_TLS = {'certificate': 'cert', 'key': 'key', 'authority': 'ca'}


def error_of(**changes: Any) -> str:
    with pytest.raises(pydantic.ValidationError) as caught:
        build.settings(**changes)
    return str(caught.value)


def test_links_need_either_tls_or_plain() -> None:
    assert '"tls"' in error_of(peers=[_PEER])
    both = {'tls': _TLS, 'plain': True}
    assert '"tls"' in error_of(peers=[_PEER], links=both)
    build.settings(peers=[_PEER], links={'plain': True})
    build.settings(peers=[_PEER], links={'tls': _TLS})


def test_duplicate_instance_ids_are_rejected() -> None:
    duplicate = {**_PEER, 'instance': 'entry-1'}
    links = {'plain': True}
    assert 'one id' in error_of(peers=[duplicate], links=links)
