"""Limit the bytes that a process keeps of what others send.

Each message has a bound of its own; this one holds for their sum. If it is
exceeded, one message is revoked, so that a faulty peer costs its own messages
and sound ones go on.
"""

import abc
from collections.abc import Callable, Hashable, Iterable, Mapping

# The first bytes of each message are not counted: short messages are complete
# with them, also while the budget is used up.
FREE_BYTES = 16_384


class ByteReservation:
    """Hold the bytes that one message uses; ``revoke`` ends the message."""

    def __init__(
        self,
        budget: 'ByteBudget',
        holder: Hashable,
        revoke: Callable[[], None] | None,
    ) -> None:
        self.holder = holder
        self.counted_bytes = 0
        self.revoke = revoke
        self._budget = budget
        self._received_bytes = 0
        self._is_released = False

    @property
    def is_released(self) -> bool:
        """Return whether the bytes were given back or revoked."""
        return self._is_released

    def take(self, size: int) -> bool:
        """Add bytes; return whether the message may keep them."""
        if self._is_released:
            return False
        self._received_bytes += size
        self._budget.record_progress(self)
        counted = max(0, self._received_bytes - FREE_BYTES)
        return self._budget.resize(self, counted)

    def hold(self, size: int) -> bool:
        """Set all bytes, none of them free; return whether there is room."""
        if self._is_released:
            return False
        self._budget.record_progress(self)
        return self._budget.resize(self, size)

    def keep(self) -> None:
        """Protect a message that was read completely from being revoked."""
        self.revoke = None

    def release(self) -> None:
        """Give all bytes back; later calls do nothing."""
        if not self._is_released:
            self._is_released = True
            self._budget.remove(self)


class RevocationPolicy(abc.ABC):
    """Choose the message that ends if the budget is exceeded."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: Iterable[ByteReservation],
        held_bytes: Mapping[Hashable, int],
    ) -> ByteReservation:
        """Return a candidate; they are ordered by their last progress.

        ``held_bytes`` sums the bytes of each holder.
        """


class LargestFirst(RevocationPolicy):
    """Revoke the largest message of the holder with the most bytes.

    This suits senders that are faulty because they send too much.
    """

    def choose(
        self,
        candidates: Iterable[ByteReservation],
        held_bytes: Mapping[Hashable, int],
    ) -> ByteReservation:
        """Return the newest of the largest messages."""
        return max(
            reversed(list(candidates)),
            key=lambda each: (
                held_bytes.get(each.holder, 0),
                each.counted_bytes,
            ),
        )


class StalestFirst(RevocationPolicy):
    """Revoke the message that has made no progress for the longest time.

    This suits senders that hold back the end of a message, and receivers that
    don't read: sound ones make progress all the time.
    """

    def choose(
        self,
        candidates: Iterable[ByteReservation],
        held_bytes: Mapping[Hashable, int],
    ) -> ByteReservation:
        """Return the message whose last progress was first."""
        return next(each for each in candidates if each.counted_bytes)


class ByteBudget:
    """Share a number of bytes between the messages in progress."""

    def __init__(
        self,
        limit_bytes: int,
        policy: RevocationPolicy | None = None,
    ) -> None:
        """Revoke messages by ``policy``, the largest ones first by default."""
        self.used_bytes = 0
        self.revoked = 0
        self._limit_bytes = limit_bytes
        self._policy = policy or LargestFirst()
        # Ordered by the last progress, the stalest first.
        self._reservations: dict[ByteReservation, None] = {}
        self._held_bytes: dict[Hashable, int] = {}

    def open(
        self,
        holder: Hashable,
        revoke: Callable[[], None] | None = None,
    ) -> ByteReservation:
        """Return the reservation of a new message.

        ``revoke`` is called at most once, if the message has to end.
        """
        reservation = ByteReservation(self, holder, revoke)
        self._reservations[reservation] = None
        return reservation

    def resize(self, reservation: ByteReservation, size: int) -> bool:
        """Set the bytes of a message; return whether there is room."""
        self._add(reservation, size - reservation.counted_bytes)
        while self.used_bytes > self._limit_bytes:
            candidates = (
                each
                for each in self._reservations
                if each is reservation or each.revoke is not None
            )
            chosen = self._policy.choose(candidates, self._held_bytes)
            if chosen is reservation:
                return False
            self._revoke(chosen)
        return True

    def record_progress(self, reservation: ByteReservation) -> None:
        """Record that a message goes on."""
        self._reservations.pop(reservation, None)
        self._reservations[reservation] = None

    def remove(self, reservation: ByteReservation) -> None:
        """Forget a message."""
        self._add(reservation, -reservation.counted_bytes)
        self._reservations.pop(reservation, None)

    def _add(self, reservation: ByteReservation, size: int) -> None:
        reservation.counted_bytes += size
        self.used_bytes += size
        holder = reservation.holder
        held = self._held_bytes.get(holder, 0) + size
        if held:
            self._held_bytes[holder] = held
        else:
            self._held_bytes.pop(holder, None)

    def _revoke(self, reservation: ByteReservation) -> None:
        revoke = reservation.revoke
        reservation.release()
        self.revoked += 1
        if revoke is not None:
            revoke()
