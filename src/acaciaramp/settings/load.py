"""Reads the settings file of an instance."""

from __future__ import annotations

import pathlib

from acaciaramp.settings.model import Settings, Tls
from acaciaramp.util.text_files import read_text
from acaciaramp.util.validation import validate


def load_settings(path: str) -> Settings:
    """Return the checked settings of the file at ``path``.

    File names in it are taken relative to the settings file.

    Raises:
        FileError: The file cannot be read.
        TextValidationError: The settings have mistakes; all are named.
    """
    settings = validate(Settings, read_text(path), path)
    folder = pathlib.Path(path).parent
    changes = {'document': str(folder / settings.document)}
    if settings.data_folder is not None:
        changes['data_folder'] = str(folder / settings.data_folder)
    links = settings.links
    if links.tls is not None:
        tls = {
            name: str(folder / value)
            for name, value in links.tls.model_dump().items()
        }
        links = links.model_copy(update={'tls': Tls(**tls)})
    return settings.model_copy(update={**changes, 'links': links})
