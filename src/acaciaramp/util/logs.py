"""Logging with the name of the part of the system that logs.

By default, log lines are text on standard error, written by absl. The roles of
a deployment write one JSON object per line to standard output instead.
"""

from __future__ import annotations

import logging as standard_logging
import traceback
import types
from typing import Any

from absl import flags, logging

from acaciaramp.util.jsonlines import JsonLineWriter

_LINE_FORMAT = '%(asctime)s %(levelname)s %(message)s'
# Only errors of these libraries are logged.
_LIBRARIES = ('uvicorn.error', 'uvicorn.access', 'asyncio', 'httpcore')


class _Output:
    """Destination of all log lines of the process.

    Attributes:
        lines: Writer of JSON lines; None if absl writes text instead.
    """

    lines: JsonLineWriter | None = None


class PartLogger:
    """Logs events of one part of the system.

    An event is a sentence; its values are passed as keyword arguments and
    become fields of the log line.
    """

    def __init__(self, part: str) -> None:
        """Create the logger of ``part``, such as ``settings``."""
        self._part = part

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may want to look into."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that an operator has to look into."""
        self._write(logging.ERROR, event, fields)

    def error_from(self, event: str, exc: BaseException) -> None:
        """Log an unexpected exception, with the file and line that raised it.

        Args:
            event: What failed and how the process continues.
            exc: The exception.
        """
        frames = traceback.extract_tb(exc.__traceback__)
        location = (
            f'{frames[-1].filename}:{frames[-1].lineno}' if frames else '-'
        )
        self.error(event, error=repr(exc), place=location)

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if _Output.lines is not None:
            _Output.lines.write(_LEVELS[level], self._part, event, fields)
            return
        logging.log(level, '%s', self._format(event, fields))

    def _format(self, event: str, fields: dict[str, Any]) -> str:
        parts = [f'{self._part}: {event}']
        parts.extend(f'{name}={text}' for name, text in fields.items())
        return ' '.join(parts)


def get_logger(part: str) -> PartLogger:
    """Return the logger of ``part`` of the system."""
    return PartLogger(part)


def configure_logs(level: str) -> None:
    """Send log lines of ``level`` and above to standard error.

    Args:
        level: One of ``debug``, ``info``, ``warning``, ``error``.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(standard_logging.Formatter(_LINE_FORMAT))
    _set_library_level(standard_logging.ERROR)


def configure_json_logs(instance: str) -> None:
    """Send all log lines to standard output, one JSON object each.

    Args:
        instance: Name of the instance, included in every line.
    """
    _Output.lines = JsonLineWriter(instance)
    _set_library_level(standard_logging.ERROR)
    standard_logging.getLogger().addHandler(_LibraryHandler())


class _LibraryHandler(standard_logging.Handler):
    """Writes log records of libraries as errors of the part ``library``."""

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one record as a log line."""
        get_logger('library').error(record.getMessage(), logger=record.name)


def _set_library_level(level: int) -> None:
    for library in _LIBRARIES:
        standard_logging.getLogger(library).setLevel(level)


_LEVELS = types.MappingProxyType(
    {
        logging.INFO: 'info',
        logging.WARNING: 'warning',
        logging.ERROR: 'error',
    }
)
