"""Limit the bytes that a process keeps of what others send.

Each message has a bound of its own; this one holds for their sum. If it is
exceeded, the holder with the most bytes loses its largest message, so that a
faulty peer costs its own messages and sound ones go on.
"""

from collections.abc import Callable, Hashable

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
        counted = max(0, self._received_bytes - FREE_BYTES)
        return self._budget.resize(self, counted)

    def keep(self) -> None:
        """Protect a message that was read completely from being revoked."""
        self.revoke = None

    def release(self) -> None:
        """Give all bytes back; later calls do nothing."""
        if not self._is_released:
            self._is_released = True
            self._budget.remove(self)


class ByteBudget:
    """Share a number of bytes between the messages in progress."""

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self.revoked = 0
        self._limit_bytes = limit_bytes
        self._reservations: set[ByteReservation] = set()
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
        self._reservations.add(reservation)
        return reservation

    def resize(self, reservation: ByteReservation, size: int) -> bool:
        """Set the bytes of a message; return whether there is room."""
        self._add(reservation, size - reservation.counted_bytes)
        while self.used_bytes > self._limit_bytes:
            largest = self._find_largest(reservation)
            if largest is reservation:
                return False
            self._revoke(largest)
        return True

    def remove(self, reservation: ByteReservation) -> None:
        """Forget a message."""
        self._add(reservation, -reservation.counted_bytes)
        self._reservations.discard(reservation)

    def _add(self, reservation: ByteReservation, size: int) -> None:
        reservation.counted_bytes += size
        self.used_bytes += size
        holder = reservation.holder
        held = self._held_bytes.get(holder, 0) + size
        if held:
            self._held_bytes[holder] = held
        else:
            self._held_bytes.pop(holder, None)

    def _find_largest(self, asking: ByteReservation) -> ByteReservation:
        """Return the largest message of the holder that has most.

        The one that asks is returned if no other can be revoked.
        """
        candidates = (
            each
            for each in self._reservations
            if each is asking or each.revoke is not None
        )
        return max(
            candidates,
            key=lambda each: (
                self._held_bytes.get(each.holder, 0),
                each.counted_bytes,
                each is asking,
            ),
        )

    def _revoke(self, reservation: ByteReservation) -> None:
        revoke = reservation.revoke
        reservation.release()
        self.revoked += 1
        if revoke is not None:
            revoke()
