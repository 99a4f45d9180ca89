"""Track which beginnings of prompts each target still holds.

An engine keeps the parts of the prompts that it has read and doesn't read them
again for the same model and adapter, as long as it holds all parts before them.
The parts share its token memory, and the least recently used ones yield. This
host knows what it sent itself; a target may hold more, and may have forgotten
some of it for the requests of other hosts.
"""

import collections
from collections.abc import Iterable

# One incarnation of a target: what it held ends with it.
Identity = tuple[str, int]
# Bounds the entries of one target if its parts state few tokens.
_MAX_PARTS = 1024


# A key for each beginning of a prompt, and the tokens of its last part.
Beginnings = tuple[tuple[int, int], ...]


def list_beginnings(
    scope: tuple[str, str],
    parts: Iterable[str],
    part_tokens: Iterable[int],
) -> Beginnings:
    """Return the beginnings of a prompt for the model and adapter in scope."""
    beginnings = []
    key = hash(scope)
    for part, tokens in zip(parts, part_tokens, strict=False):
        key = hash((key, part))
        beginnings.append((key, tokens))
    return tuple(beginnings)


class _Memory:
    """Hold the beginnings at one target, the least recently used first."""

    def __init__(self) -> None:
        self._tokens_by_key: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._total = 0

    def add(self, beginnings: Beginnings, capacity: int) -> None:
        """Add all beginnings of a prompt and forget what has no room."""
        # A part is of no use without those before it, so these yield last.
        for key, tokens in reversed(beginnings):
            self._total += tokens - self._tokens_by_key.pop(key, 0)
            self._tokens_by_key[key] = tokens
        while self._tokens_by_key and (
            self._total > capacity or len(self._tokens_by_key) > _MAX_PARTS
        ):
            _key, tokens = self._tokens_by_key.popitem(last=False)
            self._total -= tokens

    def find(self, beginnings: Beginnings) -> int:
        """Return the tokens of the longest beginning that is held."""
        found = 0
        for key, tokens in beginnings:
            if key not in self._tokens_by_key:
                break
            found += tokens
        return found


class KeptPrompts:
    """Estimate the kept tokens of prompts at all targets."""

    def __init__(self) -> None:
        self._memories: dict[Identity, _Memory] = {}

    def record(
        self, identity: Identity, beginnings: Beginnings, capacity: int
    ) -> None:
        """Record that a target has read a prompt.

        ``capacity`` is the token memory that running requests leave.
        """
        memory = self._memories.setdefault(identity, _Memory())
        memory.add(beginnings, capacity)

    def find(self, identity: Identity, beginnings: Beginnings) -> int:
        """Return how many of a prompt's first tokens a target holds."""
        memory = self._memories.get(identity)
        return memory.find(beginnings) if memory else 0

    def retain(self, identities: Iterable[Identity]) -> None:
        """Forget all targets but the named incarnations."""
        retained = set(identities)
        for identity in list(self._memories):
            if identity not in retained:
                self._memories.pop(identity)
