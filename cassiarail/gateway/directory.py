"""Look up declarations by name and resolve the policy of a request."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.declarations.resolve import resolve_policy
from cassiarail.declarations.schema import (
    CallerDocument,
    DeclarationsDocument,
    Match,
    ModelDocument,
    Policy,
    ServiceDocument,
)
from cassiarail.gateway.exceptions import (
    ForbiddenError,
    UnknownAdapterError,
    UnknownModelError,
    UnknownServiceError,
)
from cassiarail.security.keys import KeyRing

DeclarationsSource = Callable[[], DeclarationsDocument]
PolicyResolver = Callable[[DeclarationsDocument, Match], Policy]
_WILDCARD = '*'
_PLAIN = 'plain'
# Used when the defaults of the declarations omit a value.
_FALLBACK_TIMEOUT_S = 60
_FALLBACK_IDLE_S = 5
_FALLBACK_MAX_TOKENS = 4096


class RequestPolicy(NamedTuple):
    """Hold the policy values of one request; times are in seconds."""

    timeout_s: float
    idle_timeout_s: float
    max_tokens: int
    priority: int


class Directory:
    """Index one version of the declarations."""

    def __init__(
        self,
        document: DeclarationsDocument,
        resolver: PolicyResolver,
    ) -> None:
        self._document = document
        self._resolver = resolver
        self._models = {model['name']: model for model in document['models']}
        self._services = {
            service['name']: service for service in document['services']
        }
        self.key_ring = KeyRing(
            (digest, caller)
            for caller in document['callers']
            for digest in caller['key_digests']
        )

    def find_model(
        self,
        caller: CallerDocument,
        name: str,
        adapter: str,
    ) -> ModelDocument:
        """Return a model that the caller may use with an adapter.

        Raises ``UnknownModelError``, ``ForbiddenError`` or
        ``UnknownAdapterError``.
        """
        model = self._models.get(name)
        if model is None:
            raise UnknownModelError(f'unknown model {name!r}')
        if not _permits(caller['models'], name):
            raise ForbiddenError(f'the key is not allowed for model {name!r}')
        known = {entry['name'] for entry in model['adapters']}
        if adapter and adapter not in known:
            raise UnknownAdapterError(
                f'model {name!r} has no adapter {adapter!r}',
            )
        return model

    def find_service(
        self,
        caller: CallerDocument,
        name: str,
    ) -> ServiceDocument:
        """Return a plain service that the caller may use.

        Raises ``UnknownServiceError`` or ``ForbiddenError``.
        """
        service = self._services.get(name)
        if service is None or service['kind'] != _PLAIN:
            raise UnknownServiceError(f'unknown service {name!r}')
        if not _permits(caller['services'], name):
            raise ForbiddenError(f'the key is not allowed for service {name!r}')
        return service

    def list_models(self, caller: CallerDocument) -> list[ModelDocument]:
        """Return the models that the caller may use."""
        return [
            model
            for name, model in self._models.items()
            if _permits(caller['models'], name)
        ]

    def resolve(self, match: Match) -> RequestPolicy:
        """Return the policy of a request."""
        policy = self._resolver(self._document, match)
        return RequestPolicy(
            timeout_s=policy.get('timeout_s', _FALLBACK_TIMEOUT_S),
            idle_timeout_s=policy.get('idle_timeout_s', _FALLBACK_IDLE_S),
            max_tokens=policy.get('max_tokens', _FALLBACK_MAX_TOKENS),
            priority=policy.get('priority', 0),
        )


class DirectorySource:
    """Rebuild the directory when the declarations change."""

    def __init__(
        self,
        source: DeclarationsSource,
        resolver: PolicyResolver = resolve_policy,
    ) -> None:
        self._source = source
        self._resolver = resolver
        self._document: DeclarationsDocument | None = None
        self._directory: Directory | None = None

    def current(self) -> Directory:
        """Return the directory of the current declarations."""
        document = self._source()
        if self._directory is None or document is not self._document:
            self._directory = Directory(document, self._resolver)
            self._document = document
        return self._directory


def _permits(names: list[str], name: str) -> bool:
    return _WILDCARD in names or name in names
