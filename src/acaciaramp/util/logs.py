"""Log lines with a fixed prefix for each part of the system."""

from __future__ import annotations

import logging as standard_logging
import traceback
from typing import Any

from absl import flags, logging

_LINE_FORMAT = '%(asctime)s %(levelname)s %(message)s'


class PartLogger:
    """Writes short sentences behind the prefix of one part."""

    def __init__(self, part: str) -> None:
        """Create the logger of ``part``."""
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Log what happened in the ordinary course."""
        logging.info('%s', self._line(sentence, fields))

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log what an operator may want to look at."""
        logging.warning('%s', self._line(sentence, fields))

    def error(self, sentence: str, **fields: Any) -> None:
        """Log what an operator has to look at."""
        logging.error('%s', self._line(sentence, fields))

    def failure(self, sentence: str, exc: BaseException) -> None:
        """Log a defect with the place where it shows."""
        frames = traceback.extract_tb(exc.__traceback__)
        place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else '-'
        self.error(sentence, error=repr(exc), place=place)

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
    for library in ('uvicorn.error', 'uvicorn.access', 'asyncio', 'httpcore'):
        standard_logging.getLogger(library).setLevel(standard_logging.ERROR)
