"""Claim non-idempotent calls, so that each runs at most once.

A claim is created with a unique token before any byte of the call is sent. If
the store's response is lost, the claim is read back and the tokens compared.
A claim whose state stays unknown is never used, and its token is voided so
that the caller can send the call again.
"""

import base64
import contextlib
import datetime as dt
import enum
import functools
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple, NotRequired

import anyio
import msgspec
from typing_extensions import TypedDict

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
)
from cassiarail.store.backends.base import ObjectStore, StoredObject
from cassiarail.store.claim_errors import (
    ClaimUnavailableError,
    IdempotencyKeyReusedError,
    IdempotencyKeyTimeError,
    InvalidIdempotencyKeyError,
    OutcomeNotRecordedError,
    UnresolvedClaimError,
)
from cassiarail.store.claim_losses import ClaimLosses
from cassiarail.store.eras import Version

CLAIM_KIND = 'claim'
RETENTION = dt.timedelta(hours=24)
FUTURE_TOLERANCE = dt.timedelta(minutes=5)
# Larger responses are not recorded; the object API accepts up to 1 MB.
OUTCOME_LIMIT_BYTES = 65_536
_RETRY_AFTER_S = 2
_MAX_ROUNDS = 4
_UUID_VERSION = 7
_UUID_TIMESTAMP_SHIFT = 80
_TOKEN_BITS = 128


class ClaimState(enum.Enum):
    """State of a claim."""

    SENT = 'sent'
    VOID = 'void'
    DONE = 'done'
    UNCERTAIN = 'uncertain'


class RecordedResponse(TypedDict):
    """Response of a call that ran; ``body`` is encoded in base64."""

    status: int
    headers: list[list[str]]
    body: str
    verdict: str


class ClaimDocument(TypedDict):
    """Claim as the object API stores it."""

    token: str
    body_digest: str
    gateway: str
    state: str
    outcome: NotRequired[RecordedResponse]


class ClaimRequest(NamedTuple):
    """Identify a call; ``key`` is a validated idempotency key."""

    caller: str
    key: uuid.UUID
    body_digest: str

    @property
    def object_name(self) -> str:
        """Return the name of the claim object."""
        return f'{self.caller}.{self.key}'


class Claim(NamedTuple):
    """Claim that this gateway owns, at a known version."""

    name: str
    version: int
    document: ClaimDocument


Submit = Callable[[Callable[[], Awaitable[None]]], None]


def parse_idempotency_key(header: str | None, now: dt.datetime) -> uuid.UUID:
    """Parse and validate an idempotency key.

    Raises ``InvalidIdempotencyKeyError`` unless it is a UUID version 7 in its
    canonical form, and ``IdempotencyKeyTimeError`` if its timestamp is older
    than the retention of claims or too far in the future.
    """
    text = (header or '').strip()
    try:
        key = uuid.UUID(text)
    except ValueError as error:
        raise InvalidIdempotencyKeyError('key is not a UUID') from error
    if str(key) != text.lower() or key.version != _UUID_VERSION:
        raise InvalidIdempotencyKeyError('key is not a UUID version 7')
    age = now - read_key_time(key)
    if not -FUTURE_TOLERANCE <= age <= RETENTION:
        raise IdempotencyKeyTimeError('key is too old or in the future')
    return key


def read_key_time(key: uuid.UUID) -> dt.datetime:
    """Return the timestamp of a UUID version 7.

    A timestamp out of range is returned as ``datetime.max``.
    """
    milliseconds = key.int >> _UUID_TIMESTAMP_SHIFT
    try:
        return dt.datetime.fromtimestamp(milliseconds / 1000, dt.UTC)
    except (OverflowError, ValueError, OSError):
        return dt.datetime.max.replace(tzinfo=dt.UTC)


def record_response(
    status: int,
    headers: list[list[str]],
    body: bytes,
    verdict: str,
) -> RecordedResponse | None:
    """Return a response to store in a claim; ``None`` if it is too large."""
    recorded = RecordedResponse(
        status=status,
        headers=headers,
        body=base64.b64encode(body).decode(),
        verdict=verdict,
    )
    size = len(body) + len(msgspec.json.encode(headers))
    return recorded if size <= OUTCOME_LIMIT_BYTES else None


class ClaimRepository:
    """Create and close the claims of one gateway."""

    def __init__(
        self,
        store: ObjectStore,
        gateway: str,
        clock: Clock,
        generator: random.Random,
        submit: Submit,
        timeout_s: float = 2,
    ) -> None:
        """Limit each claim to ``timeout_s`` seconds.

        ``submit`` runs work in the background while the gateway runs.
        """
        self._store = store
        self._gateway = gateway
        self._clock = clock
        self._generator = generator
        self._submit = submit
        self._timeout_s = timeout_s
        self._backoff = Backoff()
        self._losses = ClaimLosses(store.era, clock)

    async def claim(self, request: ClaimRequest) -> Claim | RecordedResponse:
        """Return a claim for the call, or its recorded response.

        Raises ``ClaimUnavailableError`` if the store can't confirm the
        claim, ``UnresolvedClaimError``, ``OutcomeNotRecordedError`` or
        ``IdempotencyKeyReusedError``.
        """
        document = ClaimDocument(
            token=f'{self._generator.getrandbits(_TOKEN_BITS):032x}',
            body_digest=request.body_digest,
            gateway=self._gateway,
            state=ClaimState.SENT.value,
        )
        attempt = _ClaimAttempt(self._store, request.object_name, document)
        outcome_or_claim = None
        try:
            with anyio.move_on_after(self._timeout_s):
                outcome_or_claim = await attempt.resolve()
        except StoreError as error:
            raise _claim_unavailable(str(error)) from error
        finally:
            if attempt.is_unknown:
                self._submit(functools.partial(self._retry, attempt.void))
        if outcome_or_claim is None:
            raise _claim_unavailable('the store did not respond in time')
        if isinstance(outcome_or_claim, Claim):
            # If this raises, the new claim keeps the key unresolved.
            self._losses.require_kept(read_key_time(request.key))
        return outcome_or_claim

    def close(
        self,
        claim: Claim,
        state: ClaimState,
        outcome: RecordedResponse | None = None,
    ) -> None:
        """Record the final state of a call, with retries in the background."""
        document = ClaimDocument(**claim.document)
        document['state'] = state.value
        if outcome is not None:
            document['outcome'] = outcome

        operation = functools.partial(self._replace_own, claim, document)
        self._submit(functools.partial(self._retry, operation))

    async def void(self, claim: Claim) -> None:
        """Release the key of a call that certainly did not run.

        The first write is awaited, so that a caller can resend the call
        immediately after the refusal.
        """
        document = ClaimDocument(**claim.document)
        document['state'] = ClaimState.VOID.value
        try:
            with anyio.fail_after(self._timeout_s):
                await self._replace_own(claim, document)
        except (StoreError, TimeoutError):
            self.close(claim, ClaimState.VOID)

    async def _replace_own(
        self,
        claim: Claim,
        document: ClaimDocument,
    ) -> None:
        """Replace a claim; no other process writes a claim with our token."""
        try:
            await self._store.replace(
                CLAIM_KIND,
                claim.name,
                document,
                claim.version,
            )
        except VersionConflictError:
            # An earlier write of the same document took effect, but its
            # response was lost.
            if Version.unpack(claim.version).era < self._store.era.current:
                await self._restore(claim, document)

    async def _restore(self, claim: Claim, document: ClaimDocument) -> None:
        """Write a lost outcome; a void claim may have been claimed since."""
        if document['state'] != ClaimState.VOID.value:
            with contextlib.suppress(VersionConflictError):
                await self._store.create(CLAIM_KIND, claim.name, document)

    async def _retry(self, operation: Callable[[], Awaitable[None]]) -> None:
        attempt = 0
        while True:
            try:
                with anyio.fail_after(self._timeout_s):
                    return await operation()
            except (StoreError, TimeoutError):
                await self._clock.sleep(
                    self._backoff.delay(attempt, self._generator),
                )
            attempt += 1


class _ClaimAttempt:
    """Attempt to write a token into a claim object."""

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        document: ClaimDocument,
    ) -> None:
        self._store = store
        self._name = name
        self._document = document
        # Version that an unresolved write replaces; 0 for a creation.
        self._base_version = 0
        self.is_unknown = False

    async def resolve(self) -> Claim | RecordedResponse:
        """Create or take over the claim, or return a recorded response."""
        existing: StoredObject | None = None
        for _ in range(_MAX_ROUNDS):
            try:
                return await self._write(existing)
            except (VersionConflictError, StoreOutcomeUnknownError):
                existing = await self._store.read(CLAIM_KIND, self._name)
            if existing is None:
                continue
            if self._owns(existing):
                self.is_unknown = False
                return Claim(self._name, existing.version, self._document)
            if existing.version != self._base_version:
                # An unresolved write can no longer match this version.
                self.is_unknown = False
            recorded = self._evaluate_existing(existing.document)
            if recorded is not None:
                return recorded
        raise StoreOutcomeUnknownError('the claim could not be resolved')

    async def void(self) -> None:
        """Ensure that an unresolved write of the token has no effect.

        Voids an object that holds the token, and otherwise changes the
        version that a delayed write expects, so that its condition fails.
        """
        void = ClaimDocument(**self._document)
        void['state'] = ClaimState.VOID.value
        existing = await self._store.read(CLAIM_KIND, self._name)
        if existing is None and not self._base_version:
            await self._store.create(CLAIM_KIND, self._name, void)
        elif existing is not None and self._needs_void(existing):
            await self._store.replace(
                CLAIM_KIND,
                self._name,
                void,
                existing.version,
            )

    def _needs_void(self, existing: StoredObject) -> bool:
        found: ClaimDocument = existing.document
        if self._owns(existing):
            return found['state'] == ClaimState.SENT.value
        return existing.version == self._base_version

    def _owns(self, existing: StoredObject) -> bool:
        found: ClaimDocument = existing.document
        return found['token'] == self._document['token']

    async def _write(self, existing: StoredObject | None) -> Claim:
        was_unknown = self.is_unknown
        # Set before the write, so that it stays set after a cancellation.
        self.is_unknown = True
        self._base_version = 0 if existing is None else existing.version
        try:
            version = await self._put(existing)
        except StoreUnavailableError:
            self.is_unknown = was_unknown
            raise
        self.is_unknown = False
        return Claim(self._name, version, self._document)

    async def _put(self, existing: StoredObject | None) -> int:
        if existing is None:
            return await self._store.create(
                CLAIM_KIND,
                self._name,
                self._document,
            )
        return await self._store.replace(
            CLAIM_KIND,
            self._name,
            self._document,
            existing.version,
        )

    def _evaluate_existing(
        self, found: ClaimDocument
    ) -> RecordedResponse | None:
        """Return a recorded response, or ``None`` if the key is free."""
        if found['body_digest'] != self._document['body_digest']:
            raise IdempotencyKeyReusedError(
                'the key was sent before with another request',
            )
        state = ClaimState(found['state'])
        if state is ClaimState.VOID:
            return None
        if state is not ClaimState.DONE:
            raise UnresolvedClaimError(
                f'an earlier call with this key is {state.value}',
            )
        outcome = found.get('outcome')
        if outcome is None:
            raise OutcomeNotRecordedError(
                'the call ran, but its response was not recorded',
            )
        return outcome


def _claim_unavailable(reason: str) -> ClaimUnavailableError:
    return ClaimUnavailableError(
        f'the call was not sent: {reason}',
        retry_after_s=_RETRY_AFTER_S,
    )
