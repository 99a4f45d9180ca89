"""Stream the events of a run, with stalls and interruptions."""

import asyncio
import time

from tests.soak.behaviour import make_events
from tests.soak.stability import Execution

EVENT_INTERVAL_S = 0.03
# Some streams last long enough for clients to disconnect in the middle.
_SLOW_EVENT_INTERVAL_S = 0.4
_SLOW_SHARE = 0.15
# Some streams stall, and some engines go on after their caller has closed the
# connection.
_STALL_SHARE = 0.08
_STALL_RANGE_S = (2.0, 5.0)
_GOES_ON_SHARE = 0.5
# How long a stream is silent if its engine lets more urgent ones run first.
_PREEMPTED_RANGE_S = (1.0, 4.0)


class Streams:
    """Stream runs for an engine, which owns the records and the generators."""

    async def _stream(self, request, response, headers):
        first = int(request.headers.get('last-event-id', 0))
        request_id = headers['x-cassiarail-request-id']
        response.send_head(
            200,
            {
                **headers,
                'content-type': 'text/event-stream',
                'transfer-encoding': 'chunked',
            },
        )
        events = make_events(request_id)[first:]
        is_slow = self._generator.random() < _SLOW_SHARE
        interval_s = _SLOW_EVENT_INTERVAL_S if is_slow else EVENT_INTERVAL_S
        started_at = time.monotonic()
        stalls_at, stall_s = self._draw_stall(response, len(events))
        delays = self._draw_delays(interval_s, len(events))
        preempted_at, preempted_s = self._draw_preemption(len(events))
        try:
            for number, event in enumerate(events):
                await asyncio.sleep(delays[number])
                if number == stalls_at:
                    await asyncio.sleep(stall_s)
                if number == preempted_at:
                    self._end_work(request_id)
                    await asyncio.sleep(preempted_s)
                    self._start_work(request_id)
                await response.send(event)
            await response.finish()
        finally:
            self._records.executions.append(
                Execution(
                    request_id,
                    self.name,
                    started_at,
                    time.monotonic(),
                    started_at + sum(delays) + stall_s + preempted_s,
                    response.goes_on_after_close,
                )
            )

    def _draw_delays(self, interval_s, count):
        """Return the delay before each event."""
        delays = [interval_s] * count
        duration_s = self._draw_duration(0)
        if duration_s and count:
            # A long run reads its prompt before the first event.
            prompt_s = self._pace_generator.random() * duration_s
            delays = [(duration_s - prompt_s) / count] * count
            delays[0] += prompt_s
        return delays

    def _draw_preemption(self, count):
        """Return at which event a stream is preempted, if at any, how long."""
        generator = self._pace_generator
        if not count or generator.random() >= self._behaviour.preempted_share:
            return None, 0
        self._records.faults['preempted'] += 1
        return generator.randrange(count), generator.uniform(
            *_PREEMPTED_RANGE_S
        )

    def _draw_stall(self, response, count):
        """Return at which event a stream stalls, if at any, and how long."""
        if self._behaviour.is_sound:
            return None, 0
        generator = self._answer_generator
        if not count or generator.random() >= _STALL_SHARE:
            return None, 0
        self._records.faults['stall'] += 1
        response.goes_on_after_close = generator.random() < _GOES_ON_SHARE
        self._records.faults['goes on'] += response.goes_on_after_close
        return generator.randrange(count), generator.uniform(*_STALL_RANGE_S)
