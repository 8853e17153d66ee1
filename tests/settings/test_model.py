"""Mistakes in settings that concern several values."""

from __future__ import annotations

from typing import Any

import pydantic
import pytest

from tests import builders as build

_PEER = {'instance': 'entry-2', 'availability_zone': 'sahel', 'port': 3}
_TLS = {'certificate': 'cert', 'key': 'key', 'authority': 'ca'}


def mistake_of(**changes: Any) -> str:
    with pytest.raises(pydantic.ValidationError) as caught:
        build.settings(**changes)
    return str(caught.value)


def test_links_without_keys_must_be_asked_for() -> None:
    assert '"tls"' in mistake_of(peers=[_PEER])
    both = {'tls': _TLS, 'plain': True}
    assert '"tls"' in mistake_of(peers=[_PEER], links=both)
    build.settings(peers=[_PEER], links={'plain': True})
    build.settings(peers=[_PEER], links={'tls': _TLS})


def test_two_instances_cannot_have_one_id() -> None:
    twin = {**_PEER, 'instance': 'entry-1'}
    links = {'plain': True}
    assert 'one id' in mistake_of(peers=[twin], links=links)
