"""Mutual TLS for the links between instances."""

from __future__ import annotations

import pathlib
import ssl
from typing import TYPE_CHECKING, NamedTuple

from anyio.streams.tls import TLSStream

from acaciaramp.errors import AcaciarampError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import ByteStream

logger = get_logger('peering')


class TlsError(AcaciarampError):
    """The certificate or key files cannot be loaded."""


class TlsFiles(NamedTuple):
    """Paths of the PEM files.

    Attributes:
        certificate: The instance's certificate, issued for the IP address on
            which it listens for peers.
        key: The private key of the certificate.
        authority: Certificate of the authority that signs the certificates of
            all instances.
    """

    certificate: str
    key: str
    authority: str


class TlsContexts:
    """Client and server TLS contexts, reloaded when their files change.

    The files' modification times are checked at each new connection. If
    changed files cannot be loaded, the previous contexts stay in use.
    """

    def __init__(self, files: TlsFiles) -> None:
        """Load the files.

        Raises:
            TlsError: They cannot be loaded.
        """
        self._files = files
        # Taken first, so that a change during the load is noticed.
        self._mtimes_ns = _mtimes_ns(files)
        self._server = _load_context(files, ssl.PROTOCOL_TLS_SERVER)
        self._client = _load_context(files, ssl.PROTOCOL_TLS_CLIENT)

    async def connect(self, stream: ByteStream, host: str) -> ByteStream:
        """Perform the client side of the TLS handshake.

        Args:
            stream: The TCP connection to the peer.
            host: IP address that the peer's certificate must be issued for.

        Returns:
            The encrypted connection.

        Raises:
            ssl.SSLError: The peer is not authenticated as an instance of this
                deployment.
        """
        self._reload()
        return await TLSStream.wrap(
            stream,
            hostname=host,
            ssl_context=self._client,
            standard_compatible=False,
        )

    async def accept(self, stream: ByteStream) -> ByteStream:
        """Perform the server side of the TLS handshake.

        Args:
            stream: The TCP connection that the peer has opened.

        Returns:
            The encrypted connection.

        Raises:
            ssl.SSLError: The peer is not authenticated as an instance of this
                deployment.
        """
        self._reload()
        return await TLSStream.wrap(
            stream,
            server_side=True,
            ssl_context=self._server,
            standard_compatible=False,
        )

    def _reload(self) -> None:
        try:
            times = _mtimes_ns(self._files)
            if times == self._mtimes_ns:
                return
            server = _load_context(self._files, ssl.PROTOCOL_TLS_SERVER)
            client = _load_context(self._files, ssl.PROTOCOL_TLS_CLIENT)
        except TlsError as exc:
            logger.warning(
                'Changed TLS files are invalid; keeping the previous ones.',
                reason=exc,
            )
            return
        self._server = server
        self._client = client
        self._mtimes_ns = times
        logger.info('The TLS files changed; they were reloaded.')


def _load_context(files: TlsFiles, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except OSError as exc:
        raise TlsError(
            f'cannot load TLS files {", ".join(files)}: {exc}'
        ) from None
    return context


def _mtimes_ns(files: TlsFiles) -> list[int]:
    try:
        return [pathlib.Path(name).stat().st_mtime_ns for name in files]
    except OSError as exc:
        raise TlsError(str(exc)) from None
