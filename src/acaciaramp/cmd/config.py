"""The ``acaciaramp config`` commands, for configs and documents."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from acaciaramp.documents.model import Document
from acaciaramp.documents.review import compare_documents, review_document
from acaciaramp.errors import AcaciarampError
from acaciaramp.platform.config import decode_unchecked
from acaciaramp.platform.operator_client import read_config
from acaciaramp.routing.checks import InvalidTableError, find_errors
from acaciaramp.routing.review import compare_tables, review_table
from acaciaramp.util import jsonc
from acaciaramp.util.findings import Finding, Severity
from acaciaramp.util.text_files import read_text
from acaciaramp.util.validation import TextValidationError, validate

if TYPE_CHECKING:
    from acaciaramp.routing.model import RoutingTable

_EXIT_FINDINGS = 1
_EXIT_ERRORS = 2


class _RejectedError(AcaciarampError):
    """A file has errors.

    Attributes:
        findings: The errors.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('; '.join(map(str, findings)))
        self.findings = findings


@click.group()
def config() -> None:
    """Check configs of a platform and environment documents."""


@config.command()
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
@click.option(
    '--against',
    metavar='VERSION|FILE',
    help='Also report differences from a file, or from the version in force.',
)
@click.option(
    '--operators',
    metavar='HOST:PORT',
    help='Address for operators of a control instance, to read the version '
    'in force from; needed if --against is a version.',
)
def check(path: str, against: str | None, operators: str | None) -> None:
    """Check a config or an environment document; nothing is changed.

    Prints one line FILE: PLACE: TEXT for each finding: errors, for which the
    file is rejected; warnings about entries that never match and limits that
    contradict each other; differences from another version.

    Exit codes: 0 no findings; 1 warnings or differences, but no errors; 2 an
    error in FILE, a FILE or another version that cannot be read, or an invalid
    command line.
    """
    is_version = operators is not None
    if is_version and (against is None or not against.isdecimal()):
        raise click.UsageError('--operators needs --against VERSION')
    try:
        findings = _check_file(path)
        if against is not None:
            findings += _compare(path, against, operators)
    except _RejectedError as exc:
        findings = exc.findings
    except AcaciarampError as exc:
        click.echo(str(exc), err=True)
        sys.exit(_EXIT_ERRORS)
    for finding in findings:
        click.echo(f'{path}: {finding}')
    sys.exit(_exit_code(findings))


def _check_file(path: str) -> list[Finding]:
    loaded = _load(path, read_text(path))
    if isinstance(loaded, Document):
        return review_document(loaded)
    return review_table(loaded)


def _compare(path: str, against: str, operators: str | None) -> list[Finding]:
    """Return the differences of a file from another version."""
    new = _load(path, read_text(path))
    if operators is None:
        old = _load_other(against, read_text(against))
    else:
        old = _load_other(operators, read_config(operators).decode())
    if isinstance(new, Document) and isinstance(old, Document):
        return compare_documents(old, new)
    if isinstance(new, Document) or isinstance(old, Document):
        raise AcaciarampError(
            f'{against}: a config and a document cannot be compared'
        )
    if operators is not None and old.version != int(against):
        raise AcaciarampError(
            f'{operators}: version {old.version} is in force, not {against}'
        )
    return compare_tables(old, new)


def _load_other(source: str, text: str) -> RoutingTable | Document:
    """Load what a file is compared with.

    Raises:
        AcaciarampError: It has errors.
    """
    try:
        return _load(source, text)
    except _RejectedError as exc:
        raise AcaciarampError(f'{source}: {exc}') from None


def _load(source: str, text: str) -> RoutingTable | Document:
    """Decode a config or a document, which is told by ``environment``.

    Raises:
        _RejectedError: It has errors.
    """
    if _is_document(text):
        try:
            return validate(Document, text, source)
        except TextValidationError as exc:
            raise _RejectedError(
                [_error('document', mistake) for mistake in exc.mistakes]
            ) from None
    try:
        table = decode_unchecked(text.encode())
    except InvalidTableError as exc:
        raise _RejectedError([_decode_error(str(exc))]) from None
    errors = find_errors(table)
    if errors:
        raise _RejectedError([*errors, *review_table(table)])
    return table


def _is_document(text: str) -> bool:
    try:
        tree = jsonc.parse(text).tree
    except jsonc.JsonSyntaxError:
        return False
    return isinstance(tree, dict) and 'environment' in tree


def _decode_error(message: str) -> Finding:
    """Return the error of a decoder, which may end with its place."""
    text, _, place = message.partition(' - at ')
    return _error(place.strip('`') or 'config', text)


def _error(place: str, text: str) -> Finding:
    return Finding(place, text, Severity.ERROR)


def _exit_code(findings: list[Finding]) -> int:
    if any(item.severity is Severity.ERROR for item in findings):
        return _EXIT_ERRORS
    return _EXIT_FINDINGS if findings else 0
