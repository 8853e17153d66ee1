"""The ``PlatformAdapter`` that is passed to the roles."""

from __future__ import annotations

from acaciaramp.platform.config import decode_table
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.platform.instances import make_reader
from acaciaramp.platform.operators import make_operator_app
from acaciaramp.roles.adapter import PlatformAdapter

# Environment variable with the path of the settings file, set by the platform.
SETTINGS_VARIABLE = 'ACACIARAMP_NODE_FILE'

ADAPTER = PlatformAdapter(
    codec=PlatformCodec(),
    decode_table=decode_table,
    make_reader=make_reader,
    make_operator_app=make_operator_app,
)
