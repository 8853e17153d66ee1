"""Lookups in the active environment document, and loading of its file."""

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
    """The active document, indexed by name, id and key.

    Attributes:
        document: The active document.
        workspaces: Workspaces by name.
        services: Services by name.
        endpoints: Endpoints of all services by id.
    """

    def __init__(self, document: Document) -> None:
        """Build the indexes of ``document``."""
        self.replace(document)

    def replace(self, document: Document) -> None:
        """Make ``document`` the active one.

        It never awaits, so no other task can see a mix of old and new indexes.
        """
        self.document = document
        self.workspaces = {item.name: item for item in document.workspaces}
        self.services = {item.name: item for item in document.services}
        self.endpoints: dict[str, Endpoint] = {
            endpoint.id: endpoint
            for service in document.services
            for endpoint in service.endpoints
        }
        self._workspace_by_key_hash: dict[str, Workspace] = {
            key: workspace
            for workspace in document.workspaces
            for key in workspace.keys
        }

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace that ``key`` authenticates, None if unknown."""
        return self._workspace_by_key_hash.get(key_hash(key))

    def service(self, name: str) -> Service:
        """Return the service called ``name``.

        Raises:
            CallError: There is no such service.
        """
        service = self.services.get(name)
        if service is None:
            raise CallError(
                ErrorCode.UNKNOWN_SERVICE, f'there is no service "{name}"'
            )
        return service

    def public_route_workspace(
        self, service: str, method: str, path: str
    ) -> Workspace | None:
        """Return the workspace that a call without a key is charged to.

        Args:
            service: Name of a plain service.
            method: HTTP method of the call.
            path: Decoded path of the call.

        Returns:
            The workspace of the first public route that matches, or None if
            the call needs a key.
        """
        for route in self.document.routes:
            if route.service != service or method not in route.methods:
                continue
            if path.startswith(route.prefix):
                return self.workspaces[route.workspace]
        return None


def key_hash(key: str) -> str:
    """Return the hash that represents ``key`` in settings and documents."""
    return f'sha256:{hashlib.sha256(key.encode()).hexdigest()}'


def load_document(path: str) -> Document:
    """Load and validate the document file at ``path``.

    Raises:
        FileError: The file cannot be read.
        TextValidationError: The document is invalid; it lists every error.
    """
    return validate(Document, read_text(path), path)
