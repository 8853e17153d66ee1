"""Lookups in the document that is in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from acaciaramp.documents.model import Document, Service, Workspace
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.util.text_files import read_text
from acaciaramp.util.validation import validate

if TYPE_CHECKING:
    from acaciaramp.documents.model import Endpoint


class Registry:
    """One document with indexes by name and by key.

    Attributes:
        document: The document.
        workspaces: Workspaces by name.
        services: Services by name.
        endpoints: Endpoints by id.
    """

    def __init__(self, document: Document) -> None:
        """Build the indexes of ``document``."""
        self.replace(document)

    def replace(self, document: Document) -> None:
        """Put a document into force; lookups see all of it or nothing."""
        self.document = document
        self.workspaces = {item.name: item for item in document.workspaces}
        self.services = {item.name: item for item in document.services}
        self.endpoints: dict[str, Endpoint] = {
            endpoint.id: endpoint
            for service in document.services
            for endpoint in service.endpoints
        }
        self._workspace_by_key: dict[str, Workspace] = {
            key: workspace
            for workspace in document.workspaces
            for key in workspace.keys
        }

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace that ``key`` acts for, if any."""
        return self._workspace_by_key.get(key_hash(key))

    def service(self, name: str) -> Service:
        """Return a service by name.

        Raises:
            CallError: No such service.
        """
        found = self.services.get(name)
        if found is None:
            raise CallError(
                ErrorCode.UNKNOWN_SERVICE, f'there is no service "{name}"'
            )
        return found

    def public_route_workspace(
        self, service: str, method: str, path: str
    ) -> Workspace | None:
        """Return the workspace of an open route, None if a key is needed."""
        for route in self.document.routes:
            if route.service != service or method not in route.methods:
                continue
            if path.startswith(route.prefix):
                return self.workspaces[route.workspace]
        return None


def key_hash(key: str) -> str:
    """Return the form in which a key stands in the document."""
    return f'sha256:{hashlib.sha256(key.encode()).hexdigest()}'


def load_document(path: str) -> Document:
    """Return the checked document of the file at ``path``.

    Raises:
        FileError: The file cannot be read.
        TextValidationError: The document has mistakes; all are named.
    """
    return validate(Document, read_text(path), path)
