"""Encode and sign messages, verify and decode them.

Each message contains a timestamp and an HMAC of type, timestamp and body. They
are part of the message instead of the metadata because responses and messages
of a stream have no metadata of their own, and because they take 20 bytes
there, compared to over 100 in a header.
"""

import hmac
from typing import Any

from google.protobuf.message import DecodeError, Message
from grpclib.encoding.base import CodecBase

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import PeerRejectedError

MAX_MESSAGE_BYTES = 1_500_000
_MAC_BYTES = 16
_TIME_BYTES = 4
_HEADER_BYTES = _MAC_BYTES + _TIME_BYTES
# The clocks of hosts differ by far less. A replay within the window has no
# effect because all messages are idempotent.
_REPLAY_WINDOW_S = 30


class SignedCodec(CodecBase):
    """Convert protobuf messages to authenticated bytes and back."""

    __content_subtype__ = 'proto'

    def __init__(
        self,
        secret: bytes,
        clock: Clock,
        window_s: float = _REPLAY_WINDOW_S,
        max_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """Initialize with the shared secret of the deployment."""
        self._secret = secret
        self._clock = clock
        self._window_s = window_s
        self._max_bytes = max_bytes

    def encode(self, message: Message, message_type: Any) -> bytes:
        """Return the signed bytes of a message."""
        body = message.SerializeToString()
        if len(body) > self._max_bytes:
            raise PeerRejectedError(
                f'message of {len(body)} bytes is too large'
            )
        timestamp = self._now().to_bytes(_TIME_BYTES, 'big')
        return self._sign(message_type, timestamp, body) + timestamp + body

    def decode(self, frame: bytes, message_type: Any) -> Any:
        """Return a message; raise ``PeerRejectedError`` if it is invalid."""
        if not _HEADER_BYTES <= len(frame) <= self._max_bytes + _HEADER_BYTES:
            raise PeerRejectedError(f'invalid message size: {len(frame)} bytes')
        timestamp = frame[_MAC_BYTES:_HEADER_BYTES]
        body = frame[_HEADER_BYTES:]
        expected = self._sign(message_type, timestamp, body)
        if not hmac.compare_digest(expected, frame[:_MAC_BYTES]):
            raise PeerRejectedError('message signature does not match')
        sent_at = int.from_bytes(timestamp, 'big')
        if abs(self._now() - sent_at) > self._window_s:
            raise PeerRejectedError('message timestamp is outside the window')
        try:
            return message_type.FromString(body)
        except DecodeError as error:
            raise PeerRejectedError('message is malformed') from error

    def _now(self) -> int:
        return int(self._clock.now().timestamp())

    def _sign(self, message_type: Any, timestamp: bytes, body: bytes) -> bytes:
        name = message_type.DESCRIPTOR.full_name.encode()
        signed = b'\0'.join((name, timestamp, body))
        return hmac.digest(self._secret, signed, 'sha256')[:_MAC_BYTES]
