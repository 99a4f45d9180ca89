"""Decide whether a request is accepted, and whose request it is."""

import http

from cassiarail.edge.dialect import Dialect
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
    Route,
)
from cassiarail.edge.requests.jobs import Job
from cassiarail.edge.requests.quotas import QuotaGate
from cassiarail.edge.requests.refusals import Refusal
from cassiarail.http1.exchanges import Exchange
from cassiarail.security.accounts import ClientAccount

# A host without a configuration requests it several times a second.
RETRY_UNCONFIGURED_S = 1.0


class RequestAdmission:
    """Check requests against the configuration and the quotas.

    Without ``quotas``, the use of accounts is not limited.
    """

    def __init__(
        self,
        dialect: Dialect,
        configuration: CurrentConfiguration,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._dialect = dialect
        self._configuration = configuration
        self._quotas = quotas

    def admit(self, exchange: Exchange) -> Job:
        """Return the job of a request.

        Raises ``RequestError`` if the request is invalid and ``Refusal`` if
        the configuration doesn't allow it.
        """
        configuration = self._configuration.current
        if configuration is None:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known yet',
                RETRY_UNCONFIGURED_S,
            )
        request = self._dialect.decode_request(exchange.head)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise Refusal(http.HTTPStatus.NOT_FOUND, 'no route')
        account = authenticate(configuration, route, request.key)
        return Job(exchange, request, configuration, route, account)

    async def charge(self, job: Job) -> None:
        """Spend units of the quota of a request's account.

        Raises ``Refusal`` if the account is over its quota.
        """
        if self._quotas is not None:
            await self._quotas.charge(job)

    def settle(self, job: Job) -> None:
        """Return the units of a request that has ended without a run."""
        if self._quotas is not None:
            self._quotas.settle(job)


def authenticate(
    configuration: Configuration, route: Route, key: str | None
) -> ClientAccount | None:
    """Return the client account of a request, or ``None`` if it needs none.

    Raises ``Refusal`` if the route requires a key and no account holds it.
    """
    if not configuration.accounts or route.is_anonymous:
        return None
    account = configuration.accounts.find_by_key(key)
    if account is None:
        raise Refusal(
            http.HTTPStatus.UNAUTHORIZED, 'the key is missing or unknown'
        )
    return account
