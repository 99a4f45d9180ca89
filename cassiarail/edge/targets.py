"""Hold what is known of the targets."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from cassiarail.http1.pool import Address

# Targets whose entries lapsed while the registry was away register again
# within about two seconds of its return.
RETURN_PATIENCE_S = 2.0
# The order holder repeats twice a second what the engines hold. Its word goes
# before the registry's entry, which may be a second older, for this long.
TOLD_LIFE_S = 2.0


class ModelVariant(NamedTuple):
    """Name a model, or an adapter of it, that a request needs."""

    model: str
    adapter: str = ''


class Holdings(NamedTuple):
    """Hold what an engine has ready.

    ``models`` maps names to adapter names. ``in_memory`` and ``on_disk`` are
    the models whose weights load fast. ``order_count`` is the number of
    orders that the engine had accepted; the registry's entries don't tell it.
    """

    models: Mapping[str, frozenset[str]]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    order_count: int = 0

    def serves(self, want: ModelVariant | None) -> bool:
        """Tell whether a request finds what it needs."""
        if want is None:
            return True
        adapters = self.models.get(want.model)
        if adapters is None:
            return False
        return not want.adapter or want.adapter in adapters


NOTHING_HELD = Holdings({})


class _Told(NamedTuple):
    """Hold what the order holder told of an engine, and when."""

    holdings: Holdings
    received_at: float


class Target(NamedTuple):
    """Describe one start of a target.

    ``born_ms`` tells two starts under one instance name apart.
    ``revision`` is that of the entry in the registry, 0 if unknown.
    """

    instance: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    is_leaving: bool = False
    holdings: Holdings = NOTHING_HELD
    revision: int = 0

    @property
    def identity(self) -> tuple[str, int]:
        """Return what names this start of the target."""
        return (self.instance, self.born_ms)


def _ignore_target(_target: Target) -> None:
    """Take no notice of a changed entry."""


def _ignore_removal(_instance: str, _revision: int) -> None:
    """Take no notice of a removed entry."""


class TargetDirectory:
    """Hold the targets that the registry lists.

    While the registry returns from an outage, targets that are missing are
    kept for ``RETURN_PATIENCE_S`` once, unless they had said that they leave.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Call ``on_put`` and ``on_gone`` as entries change."""
        self.version = 0
        self.on_put: Callable[[Target], None] = _ignore_target
        self.on_gone: Callable[[str, int], None] = _ignore_removal
        self._gone_at: dict[str, int] = {}
        self._now = now
        self._targets: dict[str, Target] = {}
        self._entries: dict[str, Target] = {}
        self._patient_until = float('-inf')
        self._missing: dict[str, float] = {}
        self._told: dict[tuple[str, int], _Told] = {}
        self._leaving: set[tuple[str, int]] = set()

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, instance: str) -> Target | None:
        """Return a target by the name of its instance."""
        return self._targets.get(instance)

    def accepts_requests(self, target: Target) -> bool:
        """Tell whether this start of a target may be sent new requests."""
        known = self._targets.get(target.instance)
        if known is None or known.identity != target.identity:
            return False
        return not known.is_leaving

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new requests."""
        return [
            target
            for target in self._targets.values()
            if target.service == service and not target.is_leaving
        ]

    def begin_patience(self) -> None:
        """Keep missing targets for a while; the registry has returned."""
        self._patient_until = self._now() + RETURN_PATIENCE_S

    def replace_all(
        self,
        targets: Iterable[Target],
        revision: int = 0,
    ) -> None:
        """Take a whole listing of a revision of the registry."""
        listed = {target.instance: target for target in targets}
        for instance in list(self._targets):
            if instance not in listed:
                self.remove(instance, revision)
        for target in listed.values():
            self.put(target)

    def put(self, target: Target) -> None:
        """Take a description of a target, unless a newer one is known."""
        if self._is_outdated(target.instance, target.revision):
            return
        self._missing.pop(target.instance, None)
        self._gone_at.pop(target.instance, None)
        if target.identity in self._leaving:
            target = target._replace(is_leaving=True)
        earlier = self._entries.get(target.instance)
        self._entries[target.instance] = target
        if earlier != target:
            self.on_put(target)
        if earlier and earlier.holdings.models != target.holdings.models:
            self._doubt(target)
        self._targets[target.instance] = self._combine(target)
        self.version += 1

    def remove(self, instance: str, revision: int = 0) -> bool:
        """Forget a target, at once or at the end of the patience.

        ``revision`` is that of the registry when the entry was gone. Tells
        whether the target is known no more.
        """
        target = self._targets.get(instance)
        if target is None:
            self._note_gone(instance, revision)
            return True
        if self._is_outdated(instance, revision):
            return False
        self._gone_at[instance] = max(revision, target.revision)
        if self._now() < self._patient_until and not target.is_leaving:
            self._missing.setdefault(instance, self._patient_until)
            return False
        self._forget(target)
        return True

    def drop(self, instance: str, revision: int) -> bool:
        """Forget a target at once; the order holder has been patient.

        Tells whether the target was known until now.
        """
        target = self._targets.get(instance)
        if target is None:
            self._note_gone(instance, revision)
            return False
        if self._is_outdated(instance, revision):
            return False
        self._gone_at[instance] = max(revision, target.revision)
        self._forget(target)
        return True

    def list_entries(self) -> list[Target]:
        """Return all targets as the registry has them."""
        return list(self._entries.values())

    def _forget(self, target: Target) -> None:
        instance = target.instance
        self._targets.pop(instance)
        self._entries.pop(instance, None)
        self._missing.pop(instance, None)
        self._told.pop(target.identity, None)
        self._leaving.discard(target.identity)
        self.version += 1
        self.on_gone(instance, self._gone_at.get(instance, 0))

    def _note_gone(self, instance: str, revision: int) -> None:
        """Note a removal, also of an entry that is not known yet."""
        self._gone_at[instance] = max(
            revision,
            self._gone_at.get(instance, 0),
        )

    def _is_outdated(self, instance: str, revision: int) -> bool:
        """Tell whether news of a revision are older than what is known."""
        if not revision:
            return False
        if revision < self._gone_at.get(instance, 0):
            return True
        entry = self._entries.get(instance)
        return entry is not None and revision < entry.revision

    def expire(self) -> list[str]:
        """Forget the targets that stayed missing; return their names."""
        now = self._now()
        gone = [
            instance
            for instance, until in self._missing.items()
            if now >= until
        ]
        for instance in gone:
            # A further return of the registry grants no second patience.
            self._forget(self._targets[instance])
        return gone

    def learn_holdings(
        self,
        identity: tuple[str, int],
        holdings: Holdings,
    ) -> None:
        """Take what the order holder knows of an engine."""
        known = self._told.get(identity)
        if known and known.holdings.order_count > holdings.order_count:
            return
        self._told[identity] = _Told(holdings, self._now())
        entry = self._entries.get(identity[0])
        if entry and entry.identity == identity:
            self._targets[entry.instance] = self._combine(entry)
            self.version += 1

    def list_leaving(self) -> list[tuple[str, int]]:
        """Return the starts that the registry says are leaving."""
        return [
            entry.identity
            for entry in self._entries.values()
            if entry.is_leaving
        ]

    def mark_leaving(self, identity: tuple[str, int]) -> None:
        """Believe another host that a target is leaving.

        A target that leaves never comes back under the same start, so the
        news is true even if it is old.
        """
        if identity in self._leaving:
            return
        self._leaving.add(identity)
        entry = self._entries.get(identity[0])
        if entry and entry.identity == identity and not entry.is_leaving:
            self.put(entry)

    def get_entry(self, instance: str) -> Target | None:
        """Return a target as the registry has it."""
        return self._entries.get(instance)

    def _doubt(self, entry: Target) -> None:
        """Drop what a holder told that is silent, for a newer entry."""
        told = self._told.get(entry.identity)
        if told and self._now() - told.received_at > TOLD_LIFE_S:
            self._told.pop(entry.identity)

    def _combine(self, entry: Target) -> Target:
        """Return an entry with what the order holder knows better."""
        told = self._told.get(entry.identity)
        if told is None:
            return entry
        return entry._replace(
            holdings=told.holdings._replace(
                in_memory=entry.holdings.in_memory,
                on_disk=entry.holdings.on_disk,
            ),
        )
