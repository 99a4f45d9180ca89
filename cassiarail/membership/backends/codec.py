"""Sign, check, encode and decode messages.

Each message carries its time and an HMAC of type, time and body. The MAC is
part of the message instead of the metadata because answers and the messages of
a stream have no metadata of their own, and because it takes 20 bytes there
where a header takes over 100.
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
_HEAD_BYTES = _MAC_BYTES + _TIME_BYTES
# Clocks of hosts are synchronised to far less; a replay inside the window is
# harmless because all messages are idempotent.
_WINDOW_S = 30


class SignedCodec(CodecBase):
    """Turn protobuf messages into authenticated bytes and back."""

    __content_subtype__ = 'proto'

    def __init__(
        self,
        secret: bytes,
        clock: Clock,
        window_s: float = _WINDOW_S,
        max_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """Take the shared secret of the deployment."""
        self._secret = secret
        self._clock = clock
        self._window_s = window_s
        self._max_bytes = max_bytes

    def encode(self, message: Message, message_type: Any) -> bytes:
        """Return the signed bytes of a message."""
        body = message.SerializeToString()
        if len(body) > self._max_bytes:
            raise PeerRejectedError(f'message of {len(body)} bytes is too long')
        stamp = self._now().to_bytes(_TIME_BYTES, 'big')
        return self._sign(message_type, stamp, body) + stamp + body

    def decode(self, frame: bytes, message_type: Any) -> Any:
        """Return a message; raise ``PeerRejectedError`` if it is forged."""
        if not _HEAD_BYTES <= len(frame) <= self._max_bytes + _HEAD_BYTES:
            raise PeerRejectedError(f'message of {len(frame)} bytes')
        stamp = frame[_MAC_BYTES:_HEAD_BYTES]
        body = frame[_HEAD_BYTES:]
        expected = self._sign(message_type, stamp, body)
        if not hmac.compare_digest(expected, frame[:_MAC_BYTES]):
            raise PeerRejectedError('message has a wrong signature')
        sent_at = int.from_bytes(stamp, 'big')
        if abs(self._now() - sent_at) > self._window_s:
            raise PeerRejectedError('message is outside the time window')
        try:
            return message_type.FromString(body)
        except DecodeError as error:
            raise PeerRejectedError('message is malformed') from error

    def _now(self) -> int:
        return int(self._clock.now().timestamp())

    def _sign(self, message_type: Any, stamp: bytes, body: bytes) -> bytes:
        name = message_type.DESCRIPTOR.full_name.encode()
        signed = b'\0'.join((name, stamp, body))
        return hmac.digest(self._secret, signed, 'sha256')[:_MAC_BYTES]
