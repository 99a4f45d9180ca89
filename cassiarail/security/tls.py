"""Build TLS contexts from settings."""

import ssl
from typing import NamedTuple

from cassiarail.core.exceptions import SettingsError


class TlsFiles(NamedTuple):
    """Name the PEM files of a listener or a client.

    With ``ca_file`` the remote side must present a certificate that this
    certificate authority signed.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None


def create_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for connections to targets or peers.

    Raises ``SettingsError`` if a file is missing or invalid.
    """
    context = ssl.create_default_context(cafile=files.ca_file)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return _load_certificate(context, files)


def create_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a listener.

    Raises ``SettingsError`` if a file is missing or invalid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.ca_file is not None:
        context.load_verify_locations(files.ca_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return _load_certificate(context, files)


def _load_certificate(
    context: ssl.SSLContext, files: TlsFiles
) -> ssl.SSLContext:
    try:
        context.load_cert_chain(files.certificate_file, files.key_file)
    except OSError as error:
        raise SettingsError(
            f'cannot load {files.certificate_file}: {error}',
        ) from error
    return context
