"""Provide fake engines that detect overcommitted memory."""

from cassiarail.control.orders import EngineAdmin, OrderOutcome
from cassiarail.core.exceptions import TargetError
from cassiarail.placement.backends.base import HoldingKey


class FakeEngine:
    """Simulate the memory of one engine and record an overflow."""

    def __init__(self, name, memory_bytes, checks_fence):
        self.name = name
        self.memory_bytes = memory_bytes
        self.checks_fence = checks_fence
        self.incarnations = 0
        self.reachable = True
        self.leaving = False
        self.overflowed = False
        self.restart()

    def restart(self):
        self.incarnations += 1
        self.instance = f'{self.name}.{self.incarnations}'
        self.fence = 0
        self.held = {}
        self.orders = {}
        self.queue = []

    def receive(self, order):
        if order['instance'] != self.instance:
            return OrderOutcome.REFUSED
        if self.checks_fence and order['fence'] < self.fence:
            return OrderOutcome.STALE_FENCE
        # Targets that ignore fencing tokens may still report one.
        self.fence = max(self.fence, order['fence'])
        assert order['order_id'] not in self.orders
        if order['kind'] == 'fence':
            return OrderOutcome.ACCEPTED
        self.orders[order['order_id']] = 'running'
        key = HoldingKey(
            order['model'], order['version'], order.get('adapter', '')
        )
        if not order['kind'].startswith('load') and key in self.held:
            self.held[key][1] = 'unloading'
        self.queue.append((order, key))
        return OrderOutcome.ACCEPTED

    def advance(self):
        """Do the next step of the oldest running order.

        A load occupies no memory and isn't reported before its first step.
        """
        if not self.queue:
            return
        order, key = self.queue[0]
        is_load = order['kind'].startswith('load')
        if is_load and key not in self.held:
            self.held[key] = [order['bytes'], 'loading']
            self.overflowed |= self.used() > self.memory_bytes
            return
        self.queue.pop(0)
        self.orders[order['order_id']] = 'done'
        if is_load:
            self.held[key][1] = 'ready'
        else:
            self.held.pop(key, None)

    def finish(self):
        while self.queue:
            self.advance()

    def used(self):
        return sum(size for size, _state in self.held.values())

    def report(self):
        return {
            'instance': self.instance,
            'fence': self.fence,
            'role': 'any',
            'leaving': self.leaving,
            'memory_bytes': self.memory_bytes,
            'held': [
                {
                    'kind': 'adapter' if key.adapter else 'model',
                    'model': key.model,
                    'version': key.version,
                    'adapter': key.adapter,
                    'bytes': size,
                    'state': state,
                }
                for key, (size, state) in self.held.items()
            ],
            'orders': [
                {'order_id': order_id, 'state': state}
                for order_id, state in self.orders.items()
            ],
        }


class FakeEngineAdmin(EngineAdmin):
    """Access fake engines by address, which is their name."""

    def __init__(self, engines):
        self.engines = engines

    async def read_state(self, address):
        if not self.engines[address].reachable:
            raise TargetError('unreachable')
        return self.engines[address].report()

    async def send_order(self, address, order):
        if not self.engines[address].reachable:
            return OrderOutcome.NOT_SENT
        return self.engines[address].receive(order)
