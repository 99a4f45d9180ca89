"""Track the current configuration and accept new generations.

Generation numbers only increase. The two lowest-ranked live controllers
watch the store; the others receive changes through announcements, gossip
digests and periodic reads with jitter.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio
from absl import logging

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import define_event, emit_event
from cassiarail.core.exceptions import (
    ControlError,
    PeerRejectedError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.core.lifecycle import Component
from cassiarail.declarations.schema import (
    ConfigurationDocument,
    DeclarationsDocument,
)
from cassiarail.membership.bundles import BundleHistory
from cassiarail.membership.peers import MemberStatus
from cassiarail.membership.ports import ConfigurationPort
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.store.backends.base import ObjectStore, StoredObject, WatchBatch

CONFIGURATION_KIND = 'configuration'
CONFIGURATION_NAME = 'current'
_WATCH_TIMEOUT_S = 30.0
_WATCH_SLACK_S = 5.0
_READ_INTERVAL_S = 60.0
_ROLE_CHECK_S = 0.25
# Tokens kept so that a change whose response was lost is still found after
# later changes.
_RECENT_TOKENS = 32
_READ_BACK_ATTEMPTS = 6
_BACKOFF = Backoff(base_s=0.1, cap_s=2)

CONFIGURATION_IN_FORCE = define_event(
    number=4001,  # noqa: WPS432
    level=logging.INFO,
    summary='configuration is in force',
)
CONFIGURATION_STORE_FAILED = define_event(
    number=4002,  # noqa: WPS432
    level=logging.WARNING,
    summary='configuration could not be read from the store',
)
CONFIGURATION_REFUSED = define_event(
    number=4003,  # noqa: WPS432
    level=logging.WARNING,
    summary='configuration of a peer was refused',
)

ConfigurationListener = Callable[
    [ConfigurationDocument],
    Awaitable[None],
]


class ConfigurationConflictError(ControlError):
    """Report that another operator changed the configuration first."""

    error_id = 'CR7101'
    code = 'configuration_conflict'
    status = 409

    def __init__(self, seen_generation: int, current: ConfigurationDocument):
        """Store the conflicting configuration."""
        super().__init__(
            f'generation {seen_generation} was seen, but'
            f' {current["author"]} made generation {current["generation"]}'
            f' at {current["accepted_at"]}',
            hint='review the difference and apply again',
        )
        self.current = current


class Rollout(NamedTuple):
    """List the nodes by whether they have a generation in force."""

    generation: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]


def describe_rollout(
    generation: int,
    members: Iterable[MemberStatus],
) -> Rollout:
    """Group nodes by whether they have a generation in force."""
    known = tuple(members)
    live = [member for member in known if member.reachable]
    return Rollout(
        generation=generation,
        in_force=tuple(
            member.address for member in live if member.generation >= generation
        ),
        behind=tuple(
            member.address for member in live if member.generation < generation
        ),
        unreachable=tuple(
            member.address for member in known if not member.reachable
        ),
    )


class ConfigurationManager(Component, ConfigurationPort):
    """Hold the highest known generation and notify listeners of new ones."""

    name = 'configuration'

    def __init__(
        self,
        store: ObjectStore,
        is_watcher: Callable[[], bool],
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Set the callable that returns whether this node watches the store."""
        self._store = store
        self._is_watcher = is_watcher
        self._clock = clock
        self._generator = generator or random.Random()
        self._listeners: list[ConfigurationListener] = []
        self._history = BundleHistory()
        self._adopted = anyio.Event()
        self._announce: Callable[[], Awaitable[None]] | None = None
        self.current: ConfigurationDocument | None = None
        self.was_read_from_store = False

    @property
    def generation(self) -> int:
        """Return the current generation, 0 for none."""
        return self.current['generation'] if self.current else 0

    def is_ready(self) -> bool:
        """Return whether there is a current configuration."""
        return self.current is not None

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Register a callback for each configuration that becomes current."""
        self._listeners.append(listener)

    def set_announcer(self, announce: Callable[[], Awaitable[None]]) -> None:
        """Set the callback for a newer configuration read from the store."""
        self._announce = announce

    def get_bundle(self, generation: int) -> pb.ConfigurationBundle:
        """Return the bundle that updates a peer at a lower generation."""
        return self._history.get_bundle(generation)

    def offer(self, bundle: pb.ConfigurationBundle) -> bool:
        """Apply a newer configuration; return whether it is now current."""
        if bundle.generation <= self.generation:
            return False
        try:
            document = self._history.unpack(bundle)
        except PeerRejectedError as error:
            emit_event(
                CONFIGURATION_REFUSED,
                generation=bundle.generation,
                error=error.message,
            )
            return False
        return document is not None and self._adopt(document)

    async def run(self) -> None:
        """Follow the store and notify listeners until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_store)
            group.start_soon(self._call_listeners)

    def _adopt(self, document: ConfigurationDocument) -> bool:
        """Make a configuration the current one if it is newer."""
        if document['generation'] <= self.generation:
            return False
        self.current = document
        self._history.append(document)
        self._adopted.set()
        self._adopted = anyio.Event()
        emit_event(
            CONFIGURATION_IN_FORCE,
            generation=document['generation'],
            author=document['author'],
        )
        return True

    async def _call_listeners(self) -> None:
        notified = 0
        while True:
            adopted = self._adopted
            if self.current is None or self.generation == notified:
                await adopted.wait()
                continue
            notified = self.generation
            for listener in self._listeners:
                await listener(self.current)

    async def _follow_store(self) -> None:
        failures = 0
        while True:
            try:
                await self._follow_store_once()
            except StoreError as error:
                emit_event(CONFIGURATION_STORE_FAILED, error=error.message)
                delay = _BACKOFF.delay(failures, self._generator)
                failures += 1
                await self._clock.sleep(delay)
            else:
                failures = 0

    async def _follow_store_once(self) -> None:
        """Watch the store, or read it once and wait for the next read."""
        if self._is_watcher():
            await self._watch()
            return
        await self._read_current()
        wait_s = self._generator.uniform(_READ_INTERVAL_S / 2, _READ_INTERVAL_S)
        deadline = self._clock.monotonic() + wait_s
        while self._clock.monotonic() < deadline and not self._is_watcher():
            await self._clock.sleep(_ROLE_CHECK_S)

    async def _read_current(self) -> None:
        """Read the store once.

        Raises ``StoreError`` only if there is no current configuration yet.
        Otherwise a failure waits for the next read.
        """
        try:
            stored = await self._store.read(
                CONFIGURATION_KIND,
                CONFIGURATION_NAME,
            )
        except StoreError as error:
            if self.current is None:
                raise
            emit_event(CONFIGURATION_STORE_FAILED, error=error.message)
            return
        await self._accept(stored)

    async def _watch(self) -> None:
        listing = await self._store.list_objects(CONFIGURATION_KIND)
        for stored in listing.entries:
            await self._accept(stored)
        revision = listing.revision
        while self._is_watcher():
            try:
                batch = await self._watch_once(revision)
            except WatchExpiredError:
                return
            for changed in batch.entries:
                await self._accept(changed)
            revision = batch.revision

    async def _watch_once(self, revision: int) -> WatchBatch:
        """Wait for changes; raise ``StoreUnavailableError`` on a timeout."""
        try:
            with anyio.fail_after(_WATCH_TIMEOUT_S + _WATCH_SLACK_S):
                return await self._store.watch(
                    CONFIGURATION_KIND,
                    revision,
                    _WATCH_TIMEOUT_S,
                )
        except TimeoutError as error:
            raise StoreUnavailableError('the watch timed out') from error

    async def _accept(self, stored: StoredObject | None) -> None:
        if stored is None or stored.name != CONFIGURATION_NAME:
            return
        self.was_read_from_store = True
        if self._adopt(stored.document) and self._announce is not None:
            await self._announce()


class _Proposal(NamedTuple):
    """Describe a change whose outcome is not known yet."""

    seen_generation: int
    declarations: DeclarationsDocument
    author: str
    token: str


async def apply_configuration(
    store: ObjectStore,
    seen_generation: int,
    declarations: DeclarationsDocument,
    author: str,
    token: str,
    clock: Clock,
    generator: random.Random | None = None,
) -> int:
    """Accept declarations as the next generation and return its number.

    A lost response is resolved by reading back the token, and a write that
    had no effect is repeated under the same condition. Raises
    ``ConfigurationConflictError``, ``StoreUnavailableError`` if nothing was
    written, or ``StoreOutcomeUnknownError`` if the outcome is not known.
    """
    proposal = _Proposal(seen_generation, declarations, author, token)
    jitter = generator or random.Random()
    outcome_unknown = False
    for attempt in range(_READ_BACK_ATTEMPTS):
        try:
            return await _try_apply(
                store, proposal, clock, outcome_unknown=outcome_unknown
            )
        except VersionConflictError:
            # The next read shows which change was accepted.
            continue
        except StoreOutcomeUnknownError:
            outcome_unknown = True
        except StoreError:
            if not outcome_unknown:
                raise
        await clock.sleep(_BACKOFF.delay(attempt, jitter))
    raise StoreOutcomeUnknownError(
        f'the store did not confirm whether {token} was accepted',
        hint='apply again with the same token',
    )


async def _try_apply(
    store: ObjectStore,
    proposal: _Proposal,
    clock: Clock,
    *,
    outcome_unknown: bool,
) -> int:
    stored = await store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
    accepted = _find_accepted(stored, proposal.token)
    if accepted is not None:
        return accepted
    document = _build_document(stored, proposal, clock)
    if stored is None:
        await store.create(CONFIGURATION_KIND, CONFIGURATION_NAME, document)
    else:
        current: ConfigurationDocument = stored.document
        if current['generation'] != proposal.seen_generation:
            raise ConfigurationConflictError(proposal.seen_generation, current)
        await store.replace(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            document,
            stored.version,
        )
    return document['generation']


def _find_accepted(stored: StoredObject | None, token: str) -> int | None:
    """Return the generation accepted for a token, if it is listed."""
    if stored is None:
        return None
    current: ConfigurationDocument = stored.document
    recent = current.get('recent_tokens', [current['token']])
    if token not in recent:
        return None
    newer = len(recent) - 1 - recent.index(token)
    return current['generation'] - newer


def _build_document(
    stored: StoredObject | None,
    proposal: _Proposal,
    clock: Clock,
) -> ConfigurationDocument:
    recent: list[str] = []
    if stored is not None:
        recent = stored.document.get('recent_tokens', [])
    return ConfigurationDocument(
        generation=proposal.seen_generation + 1,
        token=proposal.token,
        author=proposal.author,
        accepted_at=clock.now().timestamp(),
        declarations=proposal.declarations,
        recent_tokens=[*recent, proposal.token][-_RECENT_TOKENS:],
    )
