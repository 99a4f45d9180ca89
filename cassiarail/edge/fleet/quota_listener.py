"""Define what the exchange of demand passes on to that of quotas."""

import abc

from cassiarail.edge.fleet.messages import QuotaGrants, QuotaReport
from cassiarail.http1.pool import Address


class QuotaListener(abc.ABC):
    """Receive what other hosts send about the use of client accounts."""

    @abc.abstractmethod
    def receive(
        self, message: QuotaReport | QuotaGrants, sender: Address
    ) -> None:
        """Handle a report as the leader, or grants of the leader."""

    @abc.abstractmethod
    def record_contact(self, fence: int) -> None:
        """Record that the leader of a term was heard."""
