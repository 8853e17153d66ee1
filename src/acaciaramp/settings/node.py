"""Settings file of an instance that runs one role: loading and reload."""

from __future__ import annotations

import enum
import pathlib
import re
from typing import Annotated

import msgspec

from acaciaramp.errors import AcaciarampError
from acaciaramp.ids import AvailabilityZone
from acaciaramp.util.logs import get_logger
from acaciaramp.util.text_files import read_text

logger = get_logger('settings')

_COMMENT_LINE = re.compile(r'^\s*//.*$', re.MULTILINE)
# A string, which is kept as it is, or a comma before a closing bracket.
_STRING_OR_TRAILING_COMMA = re.compile(r'("(?:[^"\\]|\\.)*")|,(?=\s*[}\]])')


_PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class RoleName(enum.Enum):
    """The role of an instance.

    Attributes:
        ENTRY: Accepts callers' requests and forwards them to endpoints.
        CONTROL: Replicates the routing table and tracks the other instances.
        STORAGE: Stores conversations and budgets.
    """

    ENTRY = 'entry'
    CONTROL = 'control'
    STORAGE = 'storage'


class NodeSettingsError(AcaciarampError):
    """A settings file is invalid."""


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of endpoints.

    Attributes:
        address: ``HOST:PORT`` that serves the list.
        rate_per_s: Maximum reads per second, by all instances together; not
            used by the instance.
    """

    address: str
    rate_per_s: float = 10


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits that the deployment guarantees.

    ``config_apply_ms`` and ``settle_ms`` are not used.

    Attributes:
        config_apply_ms: Within which every instance applies a confirmed
            routing table, milliseconds.
        drain_ms: Within which a leaving endpoint stops being sent requests,
            milliseconds.
        grace_s: Between the signal to stop a process and its kill, seconds.
        quota_window_s: Window over which request rates are measured, seconds.
        settle_ms: Within which an ended turn is charged for the tokens that it
            generated, milliseconds.
    """

    config_apply_ms: float = 2_500
    drain_ms: float = 3_000
    grace_s: float = 8
    quota_window_s: float = 5
    settle_ms: float = 1_000


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one instance.

    Attributes:
        instance: The instance's name.
        role: The instance's role.
        host: IP address of the machine.
        availability_zone: The availability zone that the instance runs in.
        region: The region of that availability zone.
        regions: The region of each availability zone.
        inner_port: TCP port for other instances; the same on all instances.
        tunnel_port: TCP port on which entry instances pass bytes on to endpoints
            for peers that cannot reach them; the same on all instances. None
            passes none on.
        seeds: ``HOST:PORT`` addresses, for operators, of some control
            instances.
        instance_list: The platform's list of endpoints.
        callers: ``HOST:PORT`` to listen on for callers.
        readiness: ``HOST:PORT`` to listen on for readiness probes.
        operators: ``HOST:PORT`` to listen on for operators.
        data_folder: Directory on a persistent disk.
        metrics_port: TCP port that serves metrics; None serves none.
        first_start: Whether the deployment starts for the first time, so that
            one control instance has to bootstrap the control group.
        tolerated_faults: Number of instances with a disk that may be lost at
            the same time.
        bounds: Time limits that the deployment guarantees.
        contracts: Optional parts that the deployment asks for; unknown ones are
            ignored. A platform without them may write null.
        exchange_loads: Whether entry instances tell each other the load of
            endpoints.
        memory_mb: Memory of the process, 10^6 bytes, from which the bounds on
            what is held for callers follow; None for 128.
        max_descriptors: Descriptors of the process, from which the bound on
            callers' connections follows; None for 4,100.
    """

    instance: str
    role: RoleName
    host: str
    availability_zone: AvailabilityZone
    region: str
    inner_port: int
    seeds: tuple[str, ...]
    regions: dict[AvailabilityZone, str]
    instance_list: InstanceList
    callers: str | None = None
    readiness: str | None = None
    operators: str | None = None
    data_folder: str | None = None
    metrics_port: int | None = None
    tunnel_port: int | None = None
    first_start: bool = False
    tolerated_faults: int = 1
    bounds: Bounds = Bounds()
    memory_mb: _PositiveInt | None = None
    max_descriptors: _PositiveInt | None = None
    contracts: tuple[str, ...] | None = ()
    exchange_loads: bool = False

    @property
    def has_admission_control(self) -> bool:
        """Whether requests are ranked and refused while capacity is short."""
        return 'pressure' in (self.contracts or ())


def load_node_settings(path: str) -> NodeSettings:
    """Load and validate the settings file at ``path``.

    The file is JSON that may have whole-line ``//`` comments and trailing
    commas. Unknown keys are ignored.

    Raises:
        FileError: The file cannot be read.
        NodeSettingsError: The file is malformed, a value has the wrong type or
            a setting that the role requires is missing.
    """
    text = _COMMENT_LINE.sub('', read_text(path))
    text = _STRING_OR_TRAILING_COMMA.sub(r'\1', text)
    try:
        cfg = msgspec.json.decode(text, type=NodeSettings)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise NodeSettingsError(f'{path}: {exc}') from None
    errors = list(_missing_settings(cfg))
    if errors:
        raise NodeSettingsError(
            '\n'.join(f'{path}: {error}' for error in errors)
        )
    return cfg


class SettingsFile:
    """A settings file that is reloaded when it changes on disk."""

    def __init__(self, path: str) -> None:
        """Load the file.

        Raises:
            FileError: The file cannot be read.
            NodeSettingsError: The file is invalid.
        """
        self._path = path
        # Taken first, so that a change during the load is noticed.
        self._fingerprint = _fingerprint(path)
        self._cfg = load_node_settings(path)

    def current(self) -> NodeSettings:
        """Return the settings, reloaded if the file has changed.

        If the changed file is invalid, the previous settings stay in effect
        until it changes again.
        """
        fingerprint = _fingerprint(self._path)
        if fingerprint == self._fingerprint:
            return self._cfg
        self._fingerprint = fingerprint
        try:
            self._cfg = load_node_settings(self._path)
        except AcaciarampError as exc:
            logger.warning(
                'Could not load the changed settings; keeping the previous ones.',
                reason=exc,
            )
        else:
            logger.info('Reloaded the changed settings.', seeds=self._cfg.seeds)
        return self._cfg


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address ``HOST:PORT``.

    Raises:
        ValueError: The host is missing, or the port is not a number.
    """
    host, _, port = address.rpartition(':')
    if not host:
        raise ValueError(f'expected an address HOST:PORT, got "{address}"')
    return host, int(port)


def _fingerprint(path: str) -> tuple[int, int] | None:
    """Return modification time and inode, None if there is no such file."""
    try:
        stat = pathlib.Path(path).stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_ino


def _missing_settings(cfg: NodeSettings) -> list[str]:
    required = {
        RoleName.ENTRY: ('callers', 'readiness'),
        RoleName.CONTROL: ('operators', 'data_folder'),
        RoleName.STORAGE: ('data_folder',),
    }
    return [
        f'the role "{cfg.role.value}" needs "{name}"'
        for name in required[cfg.role]
        if getattr(cfg, name) is None
    ]
