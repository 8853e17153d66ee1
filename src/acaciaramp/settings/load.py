"""Loading of an instance's settings file."""

from __future__ import annotations

import pathlib

from acaciaramp.settings.model import Settings, Tls
from acaciaramp.util.text_files import read_text
from acaciaramp.util.validation import validate


def load_settings(path: str) -> Settings:
    """Load and validate the settings file at ``path``.

    Relative paths in the file are resolved against its own directory.

    Args:
        path: A JSON file, with comments allowed.

    Returns:
        The settings, with every path resolved.

    Raises:
        FileError: The file cannot be read.
        TextValidationError: The settings are invalid; it lists every error.
    """
    settings = validate(Settings, read_text(path), path)
    folder = pathlib.Path(path).parent
    overrides = {'document': str(folder / settings.document)}
    if settings.data_folder is not None:
        overrides['data_folder'] = str(folder / settings.data_folder)
    links = settings.links
    if links.tls is not None:
        tls = {
            name: str(folder / value)
            for name, value in links.tls.model_dump().items()
        }
        links = links.model_copy(update={'tls': Tls(**tls)})
    return settings.model_copy(update={**overrides, 'links': links})
