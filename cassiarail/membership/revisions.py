"""Number the changes of a node's tables and hash names."""

import xxhash


class Revisions:
    """Count the changes of all tables of one node.

    A peer acknowledges the revision up to which it has the tables, and
    receives only later changes.
    """

    def __init__(self) -> None:
        self.latest = 0

    def advance(self) -> int:
        """Increment the counter and return the new revision."""
        self.latest += 1
        return self.latest


def hash_name(name: str) -> int:
    """Return the 32-bit key of a member or target."""
    return xxhash.xxh32_intdigest(name.encode())


def compute_rendezvous_weight(target: str, member: str) -> int:
    """Return the rendezvous weight of a member for a target."""
    return xxhash.xxh64_intdigest(f'{target}\0{member}'.encode())
