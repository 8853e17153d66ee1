"""No package but ``platform`` uses a name of the platform."""

from __future__ import annotations

import pathlib
import re

import acaciaramp

PLATFORM_NAMES = re.compile(
    r'(?i:x-attempt-id|x-deadline-ms|x-expect-instance|x-tenant|x-token|'
    r'x-previous-turn|x-program|x-session|x-not-executed|kv-from)|'
    r'frontendAddr|configApplyMs|pathPrefix|routeKind|timeoutMs|apiKeys|'
    r'nodeName|machineClass|ACACIARAMP_NODE_FILE|/v1/retire|/v1/config|/v1/evacuations|homeRegions'
)
ROOT = pathlib.Path(acaciaramp.__file__).parent


def test_platform_names_occur_only_in_its_package() -> None:
    sources = [
        path
        for path in ROOT.rglob('*.py')
        if path.relative_to(ROOT).parts[0] != 'platform'
    ]
    assert len(sources) > 100
    offenders = [
        path
        for path in sources
        if PLATFORM_NAMES.search(path.read_text('utf-8'))
    ]
    assert offenders == []
