"""Serve the routes that need no target."""

from cassiarail.core.verdict import Verdict
from cassiarail.gateway.endpoints import Call, Endpoint
from cassiarail.gateway.exceptions import NotFoundError, UnknownRequestError


class ModelsEndpoint(Endpoint):
    """Serve ``GET /v1/models``."""

    route = 'models'

    async def serve(self, call: Call) -> None:
        """List the models that the caller may use."""
        if call.scope['method'] != 'GET':
            raise NotFoundError('models are listed by GET')
        caller, directory = self.authenticate(call)
        models = [
            {
                'id': model['name'],
                'object': 'model',
                'adapters': [entry['name'] for entry in model['adapters']],
            }
            for model in directory.list_models(caller)
        ]
        await call.writer.send_json(
            {'object': 'list', 'data': models},
            Verdict.RAN,
        )


class CancelEndpoint(Endpoint):
    """Serve ``DELETE /v1/requests/{id}``."""

    route = 'cancel'

    async def serve(self, call: Call) -> None:
        """Cancel a request of the same caller that is in progress."""
        if call.scope['method'] != 'DELETE':
            raise NotFoundError('requests are cancelled by DELETE')
        caller, _directory = self.authenticate(call)
        request_id = call.scope['path_params']['request_id']
        running = self.dependencies.requests.find(request_id, caller['name'])
        if running is None:
            raise UnknownRequestError('no such request is in progress')
        running.cancel()
        await call.writer.send_json(
            {'id': request_id, 'cancelled': True},
            Verdict.RAN,
        )


class UnknownEndpoint(Endpoint):
    """Respond to paths that the gateway doesn't serve."""

    route = 'unknown'

    async def serve(self, call: Call) -> None:
        """Raise ``NotFoundError``."""
        raise NotFoundError('the gateway does not serve this path')
