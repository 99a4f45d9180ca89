"""Keep the directory of known targets."""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from cassiarail.edge.registry.restored import RestoredEntries
from cassiarail.http1.pool import Address
from cassiarail.store.eras import Version

# Targets whose entries expired while the registry was unavailable register
# again within about two seconds of its return.
RETURN_GRACE_S = 2.0
# The leader publishes the engines' holdings twice a second. For this long they
# take precedence over the registry's entry, which may be a second older.
REPORTED_HOLDINGS_TTL_S = 2.0
# Incarnations that are known to have left; more than a day of replacements.
_MAX_LEAVING = 4096


class ModelVariant(NamedTuple):
    """Identify a model, or one of its adapters, that a request needs."""

    model: str
    adapter: str = ''


class Holdings(NamedTuple):
    """List the models and adapters that an engine has ready.

    ``models`` maps model names to adapter names. ``in_memory`` and
    ``on_disk`` are the models whose weights load fast. ``order_count`` is the
    number of orders that the engine had accepted; entries of the registry
    don't contain it.
    """

    models: Mapping[str, frozenset[str]]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    order_count: int = 0

    def serves(self, variant: ModelVariant | None) -> bool:
        """Return whether the engine has what a request needs."""
        if variant is None:
            return True
        adapters = self.models.get(variant.model)
        if adapters is None:
            return False
        return not variant.adapter or variant.adapter in adapters


NO_HOLDINGS = Holdings({})


class _ReportedHoldings(NamedTuple):
    """Hold the holdings that the leader reported, and when they arrived."""

    holdings: Holdings
    received_at: float


class Target(NamedTuple):
    """Describe one incarnation of a target.

    ``born_ms`` is its start time, which distinguishes two incarnations under
    one instance name. ``revision`` is the version of the entry in the registry
    (``store/eras.py``), 0 if unknown.
    """

    instance: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    is_leaving: bool = False
    holdings: Holdings = NO_HOLDINGS
    revision: int = 0

    @property
    def identity(self) -> tuple[str, int]:
        """Return the key of this incarnation of the target."""
        return (self.instance, self.born_ms)


def _ignore_target(_target: Target) -> None:
    """Ignore a changed entry."""


def _ignore_removal(_instance: str, _revision: int) -> None:
    """Ignore a removed entry."""


class TargetDirectory:
    """Hold the targets that the registry lists.

    After an outage of the registry, targets that are missing from it are
    retained once for ``RETURN_GRACE_S``, unless they were leaving. Entries of
    a new era don't bring back incarnations that were removed or leaving.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Call ``on_put`` and ``on_removed`` as entries change.

        ``entry_version`` counts these changes; ``version`` also counts changes
        of what engines hold.
        """
        self.version = 0
        self.entry_version = 0
        self.on_put: Callable[[Target], None] = _ignore_target
        self.on_removed: Callable[[str, int], None] = _ignore_removal
        self._removed_at_revision: dict[str, int] = {}
        self._listed_revision = 0
        self._now = now
        self._targets: dict[str, Target] = {}
        self._entries: dict[str, Target] = {}
        self._restored = RestoredEntries(now)
        self._grace_until = float('-inf')
        self._missing: dict[str, float] = {}
        self._reported: dict[tuple[str, int], _ReportedHoldings] = {}
        self._leaving: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, instance: str) -> Target | None:
        """Return a target by its instance name."""
        return self._targets.get(instance)

    def accepts_requests(self, target: Target) -> bool:
        """Return whether this incarnation may be sent new requests."""
        known = self._targets.get(target.instance)
        if known is None or known.identity != target.identity:
            return False
        return not known.is_leaving

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new requests."""
        return [
            target
            for target in self._targets.values()
            if target.service == service and not target.is_leaving
        ]

    def begin_grace_period(self) -> None:
        """Retain missing targets for a while; the registry has returned."""
        self._grace_until = self._now() + RETURN_GRACE_S

    def replace_all(
        self,
        targets: Iterable[Target],
        revision: int = 0,
    ) -> None:
        """Apply a full listing of the registry at a revision."""
        listed = {target.instance: target for target in targets}
        for instance in list(self._targets):
            if instance not in listed:
                self.remove(instance, revision)
        for target in listed.values():
            self.put(target)
        self._listed_revision = max(self._listed_revision, revision)

    def put(self, target: Target) -> None:
        """Add or update a target, unless a newer entry is known."""
        if self._is_outdated(target.instance, target.revision):
            return
        earlier = self._entries.get(target.instance)
        if self._restored.was_leaving(target, earlier):
            _remember(self._leaving, target.identity)
        if not self._restored.admits(target):
            return
        self._missing.pop(target.instance, None)
        self._removed_at_revision.pop(target.instance, None)
        if target.identity in self._leaving:
            target = target._replace(is_leaving=True)
        self._entries[target.instance] = target
        if earlier and earlier.identity != target.identity:
            self._restored.record_removal(earlier, target.revision)
        if not _is_same(earlier, target):
            self.entry_version += 1
            self.on_put(target)
        if earlier and earlier.holdings.models != target.holdings.models:
            self._drop_expired_report(target)
        self._targets[target.instance] = self._merge_reported(target)
        self.version += 1

    def remove(self, instance: str, revision: int = 0) -> bool:
        """Remove a target, immediately or at the end of the grace period.

        ``revision`` is the registry's revision at which the entry was missing.
        Return whether the target is no longer known.
        """
        self._restored.drop(instance, revision)
        target = self._targets.get(instance)
        if target is None:
            self._record_removal(instance, revision)
            return True
        if self._is_outdated(instance, revision):
            return False
        self._removed_at_revision[instance] = max(revision, target.revision)
        if self._now() < self._grace_until and not target.is_leaving:
            self._missing.setdefault(instance, self._grace_until)
            return False
        self._delete(target)
        return True

    def remove_now(self, instance: str, revision: int) -> bool:
        """Remove a target immediately; the leader has waited the grace period.

        Return whether the target was known until now.
        """
        self._restored.drop(instance, revision)
        target = self._targets.get(instance)
        if target is None:
            self._record_removal(instance, revision)
            return False
        if self._is_outdated(instance, revision):
            return False
        self._removed_at_revision[instance] = max(revision, target.revision)
        self._delete(target)
        return True

    def list_entries(self) -> list[Target]:
        """Return all targets as the registry lists them."""
        return list(self._entries.values())

    def _delete(self, target: Target) -> None:
        instance = target.instance
        self._targets.pop(instance)
        self._entries.pop(instance, None)
        self.entry_version += 1
        self._missing.pop(instance, None)
        self._reported.pop(target.identity, None)
        self.version += 1
        revision = self._removed_at_revision.get(instance, 0)
        self._restored.record_removal(target, max(revision, target.revision))
        self.on_removed(instance, revision)

    def _record_removal(self, instance: str, revision: int) -> None:
        """Record a removal, even of an entry that is not known yet."""
        self._removed_at_revision[instance] = max(
            revision,
            self._removed_at_revision.get(instance, 0),
        )

    def _is_outdated(self, instance: str, revision: int) -> bool:
        """Return whether a revision is older than what is known."""
        if not revision:
            return False
        if revision < self._removed_at_revision.get(instance, 0):
            return True
        entry = self._entries.get(instance)
        if entry is None:
            # A listing has shown that the entry was removed since. Another
            # host may repeat it, and a restarted process knows no removals.
            # One that is held back was in that listing.
            is_held = self._restored.holds(instance, revision)
            return revision <= self._listed_revision and not is_held
        return revision < entry.revision

    def expire(self) -> list[str]:
        """Remove the targets that stayed missing; return their names.

        Apply the restored entries that were held back for long enough.
        """
        now = self._now()
        for target in self._restored.list_due():
            self.put(target)
        expired = [
            instance
            for instance, until in self._missing.items()
            if now >= until
        ]
        for instance in expired:
            # A further return of the registry grants no second grace period.
            self._delete(self._targets[instance])
        return expired

    def update_holdings(
        self,
        identity: tuple[str, int],
        holdings: Holdings,
    ) -> None:
        """Store the holdings of an engine as the leader reports them."""
        known = self._reported.get(identity)
        if known and known.holdings.order_count > holdings.order_count:
            return
        self._reported[identity] = _ReportedHoldings(holdings, self._now())
        entry = self._entries.get(identity[0])
        if entry and entry.identity == identity:
            self._targets[entry.instance] = self._merge_reported(entry)
            self.version += 1

    def list_leaving(self) -> list[tuple[str, int]]:
        """Return the identities that the registry lists as leaving."""
        return [
            entry.identity
            for entry in self._entries.values()
            if entry.is_leaving
        ]

    def mark_leaving(self, identity: tuple[str, int]) -> bool:
        """Record that a target said, or another host reports, that it leaves.

        A leaving target never returns as the same incarnation, so the report
        holds even if it is old, and after the entry was removed: entries that
        expire in an outage come back. Return whether it was not known.
        """
        if identity in self._leaving:
            return False
        _remember(self._leaving, identity)
        entry = self._entries.get(identity[0])
        if entry and entry.identity == identity and not entry.is_leaving:
            if entry.instance in self._missing:
                # It is retained only because it might return.
                self._delete(entry)
            else:
                self.put(entry)
        return True

    def get_entry(self, instance: str) -> Target | None:
        """Return a target as the registry lists it."""
        return self._entries.get(instance)

    def _drop_expired_report(self, entry: Target) -> None:
        """Drop expired holdings of the leader in favour of a newer entry."""
        reported = self._reported.get(entry.identity)
        if (
            reported
            and self._now() - reported.received_at > REPORTED_HOLDINGS_TTL_S
        ):
            self._reported.pop(entry.identity)

    def _merge_reported(self, entry: Target) -> Target:
        """Return an entry with the holdings that the leader reported."""
        reported = self._reported.get(entry.identity)
        if reported is None:
            return entry
        return entry._replace(
            holdings=reported.holdings._replace(
                in_memory=entry.holdings.in_memory,
                on_disk=entry.holdings.on_disk,
            ),
        )


def _remember(
    leaving: collections.OrderedDict[tuple[str, int], None],
    identity: tuple[str, int],
) -> None:
    leaving[identity] = None
    if len(leaving) > _MAX_LEAVING:
        leaving.popitem(last=False)


def _is_same(earlier: Target | None, target: Target) -> bool:
    """Return whether an entry differs at most in the era of its version.

    A new era alone changes nothing that other hosts have to know.
    """
    if earlier is None or earlier._replace(revision=target.revision) != target:
        return False
    era = Version.unpack(earlier.revision).era
    return (
        earlier.revision == target.revision
        or era < Version.unpack(target.revision).era
    )


def mark_all_leaving(
    directory: TargetDirectory, identities: Iterable[tuple[str, int]]
) -> bool:
    """Record that targets leave; return whether one was not known."""
    return bool(sum(directory.mark_leaving(each) for each in identities))
