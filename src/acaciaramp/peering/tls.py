"""Certificates of the links between instances, read anew when they change."""

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
    """Certificates or key cannot be used."""


class TlsFiles(NamedTuple):
    """Files in PEM format.

    Attributes:
        certificate: The instance's certificate, for its inner IP address.
        key: Its private key.
        authority: Certificate of the authority of all instances.
    """

    certificate: str
    key: str
    authority: str


class TlsContexts:
    """Mutual TLS with the certificates that the files hold now.

    Files that cannot be used are logged, and the ones before stay in use.
    """

    def __init__(self, files: TlsFiles) -> None:
        """Read the files.

        Raises:
            TlsError: They cannot be used.
        """
        self._files = files
        self._times: list[int] = []
        self._server = _context(files, ssl.PROTOCOL_TLS_SERVER)
        self._client = _context(files, ssl.PROTOCOL_TLS_CLIENT)
        self._times = _times(files)

    async def connect(self, stream: ByteStream, host: str) -> ByteStream:
        """Return the secured connection to another instance.

        Args:
            stream: The connection.
            host: IP address that the other's certificate must be for.

        Raises:
            ssl.SSLError: The other one is no instance of this deployment.
        """
        self._reload()
        return await TLSStream.wrap(
            stream,
            hostname=host,
            ssl_context=self._client,
            standard_compatible=False,
        )

    async def accept(self, stream: ByteStream) -> ByteStream:
        """Return the secured connection that another instance has opened.

        Raises:
            ssl.SSLError: The other one is no instance of this deployment.
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
            times = _times(self._files)
            if times == self._times:
                return
            server = _context(self._files, ssl.PROTOCOL_TLS_SERVER)
            client = _context(self._files, ssl.PROTOCOL_TLS_CLIENT)
        except TlsError as exc:
            logger.warning('Changed certificates cannot be used.', reason=exc)
            return
        self._server = server
        self._client = client
        self._times = times
        logger.info('The certificates were read anew.')


def _context(files: TlsFiles, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except OSError as exc:
        raise TlsError(f'{", ".join(files)}: {exc}') from None
    return context


def _times(files: TlsFiles) -> list[int]:
    try:
        return [pathlib.Path(name).stat().st_mtime_ns for name in files]
    except OSError as exc:
        raise TlsError(str(exc)) from None
