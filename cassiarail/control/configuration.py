"""Keep the accepted configuration in force and accept new ones.

Generations only rise. The two lowest live controllers by rank watch the
store; the others learn from announcements, digests and jittered re-reads.
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
_WATCH_S = 30.0
_WATCH_SLACK_S = 5.0
_REREAD_S = 60.0
_ROLE_CHECK_S = 0.25
# A change accepted during a lost answer must still be found after many others.
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
    """Report that another operator changed the configuration meanwhile."""

    error_id = 'CR7101'
    code = 'configuration_conflict'
    status = 409

    def __init__(self, seen_generation: int, current: ConfigurationDocument):
        """Hold the conflicting configuration."""
        super().__init__(
            f'generation {seen_generation} was seen, but'
            f' {current["author"]} made generation {current["generation"]}'
            f' at {current["accepted_at"]}',
            hint='review the difference and apply again',
        )
        self.current = current


class Rollout(NamedTuple):
    """Tell which nodes have a generation in force."""

    generation: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]


def describe_rollout(
    generation: int,
    members: Iterable[MemberStatus],
) -> Rollout:
    """Sort nodes by whether they have a generation in force."""
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


class ConfigurationKeeper(Component, ConfigurationPort):
    """Hold the highest generation known and tell listeners of new ones."""

    name = 'configuration'

    def __init__(
        self,
        store: ObjectStore,
        is_watcher: Callable[[], bool],
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Take the test of whether this node watches the store at present."""
        self._store = store
        self._is_watcher = is_watcher
        self._clock = clock
        self._generator = generator or random.Random()
        self._listeners: list[ConfigurationListener] = []
        self._history = BundleHistory()
        self._adopted = anyio.Event()
        self._announce: Callable[[], Awaitable[None]] | None = None
        self.current: ConfigurationDocument | None = None
        self.learned_from_store = False

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self.current['generation'] if self.current else 0

    def is_ready(self) -> bool:
        """Tell whether any configuration is in force."""
        return self.current is not None

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)

    def set_announcer(self, announce: Callable[[], Awaitable[None]]) -> None:
        """Call a function when the store gave a newer configuration."""
        self._announce = announce

    def get_bundle(self, generation: int) -> pb.ConfigurationBundle:
        """Return what a peer at a lower generation needs."""
        return self._history.get_bundle(generation)

    def offer(self, bundle: pb.ConfigurationBundle) -> bool:
        """Take a newer configuration; tell whether it is now in force."""
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
        """Follow the store and call listeners until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_store)
            group.start_soon(self._call_listeners)

    def _adopt(self, document: ConfigurationDocument) -> bool:
        """Put a configuration in force unless it isn't newer."""
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
        told = 0
        while True:
            adopted = self._adopted
            if self.current is None or self.generation == told:
                await adopted.wait()
                continue
            told = self.generation
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
        """Watch, or read once and wait for the next read."""
        if self._is_watcher():
            await self._watch()
            return
        await self._reread()
        wait_s = self._generator.uniform(_REREAD_S / 2, _REREAD_S)
        deadline = self._clock.monotonic() + wait_s
        while self._clock.monotonic() < deadline and not self._is_watcher():
            await self._clock.sleep(_ROLE_CHECK_S)

    async def _reread(self) -> None:
        """Read once; a failure waits for the next read if a peer helped."""
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
        await self._take(stored)

    async def _watch(self) -> None:
        listing = await self._store.list_objects(CONFIGURATION_KIND)
        for stored in listing.entries:
            await self._take(stored)
        revision = listing.revision
        while self._is_watcher():
            try:
                batch = await self._watch_once(revision)
            except WatchExpiredError:
                return
            for changed in batch.entries:
                await self._take(changed)
            revision = batch.revision

    async def _watch_once(self, revision: int) -> WatchBatch:
        """Wait for changes; a silent connection counts as unavailable."""
        try:
            with anyio.fail_after(_WATCH_S + _WATCH_SLACK_S):
                return await self._store.watch(
                    CONFIGURATION_KIND,
                    revision,
                    _WATCH_S,
                )
        except TimeoutError as error:
            raise StoreUnavailableError('the watch went silent') from error

    async def _take(self, stored: StoredObject | None) -> None:
        if stored is None or stored.name != CONFIGURATION_NAME:
            return
        self.learned_from_store = True
        if self._adopt(stored.document) and self._announce is not None:
            await self._announce()


class _Proposal(NamedTuple):
    """Hold one operator's change until its outcome is known."""

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

    A lost answer is resolved by reading back the token, and a write that had
    no effect is repeated under the same condition. Raises
    ``ConfigurationConflictError``, ``StoreUnavailableError`` if nothing was
    written, or ``StoreOutcomeUnknownError`` if that can't be told.
    """
    proposal = _Proposal(seen_generation, declarations, author, token)
    jitter = generator or random.Random()
    unknown = False
    for attempt in range(_READ_BACK_ATTEMPTS):
        try:
            return await _try_apply(store, proposal, clock, unknown=unknown)
        except VersionConflictError:
            # The next read shows whose change was accepted.
            continue
        except StoreOutcomeUnknownError:
            unknown = True
        except StoreError:
            if not unknown:
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
    unknown: bool,
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
    """Return the generation that a token made, if the object shows it."""
    if stored is None:
        return None
    current: ConfigurationDocument = stored.document
    recent = current.get('recent_tokens', [current['token']])
    if token not in recent:
        return None
    later = len(recent) - 1 - recent.index(token)
    return current['generation'] - later


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
