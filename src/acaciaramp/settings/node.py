"""Settings of one instance that runs a single role of a deployment."""

from __future__ import annotations

import enum
import pathlib
import re

import msgspec

from acaciaramp.errors import AcaciarampError
from acaciaramp.ids import AvailabilityZone
from acaciaramp.util.logs import get_logger
from acaciaramp.util.text_files import read_text

logger = get_logger('settings')

_COMMENT_LINE = re.compile(r'^\s*//.*$', re.MULTILINE)
_TRAILING_COMMA = re.compile(r',(\s*[}\]])')


class RoleName(enum.Enum):
    """What an instance does.

    Attributes:
        ENTRY: Takes the requests of callers.
        CONTROL: Keeps the routing table and the list of instances.
        STORAGE: Keeps conversations and budgets.
    """

    ENTRY = 'entry'
    CONTROL = 'control'
    STORAGE = 'storage'


class NodeSettingsError(AcaciarampError):
    """A settings file cannot be used."""


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """Where the list of endpoints is read.

    Attributes:
        address: Host and port.
        rate_per_s: Reads a second that all instances may make together.
    """

    address: str
    rate_per_s: float = 10


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times that the deployment promises.

    Attributes:
        config_apply_ms: Until a confirmed table is in force everywhere.
        drain_ms: Until a leaving endpoint gets no more requests.
        grace_s: Until a stopped process is killed, seconds.
        quota_window_s: Window over which rates are judged, seconds.
        settle_ms: Until an ended turn counts as what it generated.
    """

    config_apply_ms: float = 2_500
    drain_ms: float = 3_000
    grace_s: float = 8
    quota_window_s: float = 5
    settle_ms: float = 1_000


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one instance.

    Attributes:
        instance: Its name.
        role: What it does.
        host: IP address of the machine.
        availability_zone: Where it stands.
        region: The region of that availability zone.
        regions: The region of each availability zone.
        inner_port: Port for the other instances; the same on all of them.
        seeds: Some control instances, as operators address them.
        instance_list: Where the list of endpoints is read.
        callers: Host and port for callers.
        readiness: Host and port for questions whether it is ready.
        operators: Host and port for operators.
        data_folder: Folder on a disk that lasts.
        metrics_port: Port on which metrics are served; None for none.
        first_start: Whether the deployment starts for the first time.
        tolerated_faults: Instances with a disk that may be lost at once.
        bounds: Times that the deployment promises.
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
    first_start: bool = False
    tolerated_faults: int = 1
    bounds: Bounds = Bounds()


def load_node_settings(path: str) -> NodeSettings:
    """Return the checked settings of the file at ``path``.

    Raises:
        FileError: The file cannot be read.
        NodeSettingsError: The file has a mistake.
    """
    text = _COMMENT_LINE.sub('', read_text(path))
    text = _TRAILING_COMMA.sub(r'\1', text)
    try:
        cfg = msgspec.json.decode(text, type=NodeSettings)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise NodeSettingsError(f'{path}: {exc}') from None
    mistakes = list(_mistakes(cfg))
    if mistakes:
        raise NodeSettingsError(
            '\n'.join(f'{path}: {mistake}' for mistake in mistakes)
        )
    return cfg


class SettingsFile:
    """Settings that may change while the process runs."""

    def __init__(self, path: str, cfg: NodeSettings) -> None:
        """Create it from what the file holds now.

        Args:
            path: The file.
            cfg: Its content.
        """
        self._path = path
        self._cfg = cfg
        self._stamp = _stamp(path)

    def current(self) -> NodeSettings:
        """Return the settings; a file that cannot be used changes nothing."""
        stamp = _stamp(self._path)
        if stamp == self._stamp:
            return self._cfg
        self._stamp = stamp
        try:
            self._cfg = load_node_settings(self._path)
        except AcaciarampError as exc:
            logger.warning('Changed settings cannot be used.', reason=exc)
        else:
            logger.info('The settings were read anew.', seeds=self._cfg.seeds)
        return self._cfg


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``HOST:PORT``.

    Raises:
        ValueError: It is no such address.
    """
    host, _, port = address.rpartition(':')
    if not host:
        raise ValueError(f'"{address}" is not HOST:PORT')
    return host, int(port)


def _stamp(path: str) -> tuple[int, int] | None:
    """Return what changes whenever a file does, None without the file."""
    try:
        found = pathlib.Path(path).stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_ino


def _mistakes(cfg: NodeSettings) -> list[str]:
    needed = {
        RoleName.ENTRY: ('callers', 'readiness'),
        RoleName.CONTROL: ('operators', 'data_folder'),
        RoleName.STORAGE: ('data_folder',),
    }
    return [
        f'the role "{cfg.role.value}" needs "{name}"'
        for name in needed[cfg.role]
        if getattr(cfg, name) is None
    ]
