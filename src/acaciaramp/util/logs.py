"""Log lines with a fixed prefix for each part of the system.

By default they are text behind absl's head, on standard error. The roles of a
deployment write one JSON object a line to standard output instead.
"""

from __future__ import annotations

import logging as standard_logging
import traceback
import types
from typing import Any

from absl import flags, logging

from acaciaramp.util.jsonlines import JsonLineWriter

_LINE_FORMAT = '%(asctime)s %(levelname)s %(message)s'
_LIBRARIES = ('uvicorn.error', 'uvicorn.access', 'asyncio', 'httpcore')


class _Target:
    """Where all lines of the process go."""

    lines: JsonLineWriter | None = None


class PartLogger:
    """Writes short sentences behind the prefix of one part."""

    def __init__(self, part: str) -> None:
        """Create the logger of ``part``."""
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Log what happened in the ordinary course."""
        self._write(logging.INFO, sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log what an operator may want to look at."""
        self._write(logging.WARNING, sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log what an operator has to look at."""
        self._write(logging.ERROR, sentence, fields)

    def error_from(self, sentence: str, exc: BaseException) -> None:
        """Log a defect with the place where it shows."""
        frames = traceback.extract_tb(exc.__traceback__)
        place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else '-'
        self.error(sentence, error=repr(exc), place=place)

    def _write(self, level: int, sentence: str, fields: dict[str, Any]) -> None:
        if _Target.lines is not None:
            _Target.lines.write(_LEVELS[level], self._part, sentence, fields)
            return
        logging.log(level, '%s', self._line(sentence, fields))

    def _line(self, sentence: str, fields: dict[str, Any]) -> str:
        words = [f'{self._part}: {sentence}']
        words.extend(f'{name}={text}' for name, text in fields.items())
        return ' '.join(words)


def get_logger(part: str) -> PartLogger:
    """Return the logger whose lines begin with ``part``."""
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
    _quiet_libraries(standard_logging.ERROR)


def configure_json_logs(instance: str) -> None:
    """Send all log lines to standard output, one JSON object each.

    Args:
        instance: Stands in every line.
    """
    _Target.lines = JsonLineWriter(instance)
    _quiet_libraries(standard_logging.ERROR)
    standard_logging.getLogger().addHandler(_LibraryHandler())


class _LibraryHandler(standard_logging.Handler):
    """Writes what libraries log in the form of all lines."""

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one line."""
        get_logger('library').error(record.getMessage(), logger=record.name)


def _quiet_libraries(level: int) -> None:
    for library in _LIBRARIES:
        standard_logging.getLogger(library).setLevel(level)


_LEVELS = types.MappingProxyType(
    {
        logging.INFO: 'info',
        logging.WARNING: 'warning',
        logging.ERROR: 'error',
    }
)
