"""Test that a listener with TLS answers, refuses and closes as others do."""

import asyncio
import datetime as dt
import ipaddress
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from cassiarail.core.loops import run_real
from cassiarail.gateway.refusals import render_refusal
from cassiarail.telemetry.listener import HttpListener, ListenerRules
from tests.soak.loopback import ADDRESS

TIMEOUT_S = 30
BEGIN = b'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'


@pytest.fixture(scope='module')
def certificate(tmp_path_factory):
    """Return the files of a certificate for this address and of its key."""
    folder = tmp_path_factory.mktemp('certificate')
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'h')])
    now = dt.datetime.now(dt.UTC)
    address = x509.IPAddress(ipaddress.ip_address(ADDRESS))
    signed = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - dt.timedelta(days=1))
        .not_valid_after(now + dt.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / 'c.pem').write_bytes(signed.public_bytes(pem))
    (folder / 'k.pem').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return folder / 'c.pem', folder / 'k.pem'


async def _respond(request):
    return PlainTextResponse(await request.body())


def exchange(certificate, sent):
    """Return all that a caller receives before the connection ends."""
    certificate_file, key_file = certificate

    async def main():
        listener = HttpListener(
            'callers',
            {
                'address': f'{ADDRESS}:0',
                'certificate_file': str(certificate_file),
                'private_key_file': str(key_file),
            },
            Starlette(routes=[Route('/', _respond, methods=['POST'])]),
            ListenerRules(render_refusal=render_refusal),
        )
        await listener.start()
        context = ssl.create_default_context(cafile=certificate_file)
        reader, writer = await asyncio.open_connection(
            ADDRESS, listener.port, ssl=context
        )
        writer.write(sent)
        async with asyncio.timeout(TIMEOUT_S):
            received = await reader.read(-1)
        writer.close()
        await listener.drain()
        await listener.stop()
        return received

    return run_real(main)


def test_a_request_over_tls_is_answered(certificate):
    body = b'x' * 10_000
    framing = b'Content-Length: %d\r\n\r\n' % len(body)
    received = exchange(certificate, BEGIN + framing + body)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(body)


def test_a_refusal_over_tls_carries_the_error_and_its_verdict(certificate):
    received = exchange(
        certificate, BEGIN + b'Content-Length: 99999999\r\n\r\n'
    )
    assert received.startswith(b'HTTP/1.1 413 ')
    assert b'x-verdict: not-run' in received.lower()
    assert b'"id":"CR3002"' in received
