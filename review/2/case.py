"""A request that crashes engines comes again and is never answered."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as st  # noqa: E402

SERVICE = 'salzmodell'
MODEL = st.Model('m0')
TIMEOUT_S = 6.0
GOAL_S = 3.0
# A client leaves a stream after the longest of 2 s, four times the goal and
# eight times the longest pause.
GAP_S = max(2, 4 * GOAL_S, 8 * 0.15)
SLACK_S = 0.5
REQUESTS = 8
PAUSE_S = 4
# The rule counts from eight requests.
MIN_LATE = 8


async def run_deadly(
    engine: st.Engine, request: st.Message, response: st.Response
) -> None:
    """Stream; one kind of request crashes its engine after an event."""
    if not (request.body.startswith(b'deadly') and st.HAS_TROUBLE):
        await st.run_stream(engine, request, response)
        return
    first = int(request.headers.get('last-event-id', 0)) + 1
    headers = {'Content-Type': 'text/event-stream', **engine.stamp(request)}
    response.begin_chunks(headers)
    response.send_chunk(st.make_event('', first))
    await response.writer.drain()
    await asyncio.sleep(0.1)
    engine.crash_soon('it ran a deadly request', 3)
    await asyncio.sleep(1)


async def case(record: st.Record) -> int:
    """Return whether requests stay unanswered past their route's timeout."""
    store = st.Store(record)
    await store.server.start()
    engines = [
        st.Engine(
            f'e{number}', SERVICE, store, record, models=(MODEL,)
        ).run_with(run_deadly)
        for number in range(24)
    ]
    for engine in engines:
        await engine.start()
    route = st.make_route(
        'archive',
        SERVICE,
        'stream',
        timeout_ms=int(TIMEOUT_S * 1000),
        goal_ms=int(GOAL_S * 1000),
        attempts=2,
        can_resume=True,
        priority=2,
    )
    store.put(
        'config',
        'main',
        st.make_configuration(1, [route], [st.make_service(SERVICE, (MODEL,))]),
    )
    node = st.Node('front-bex-1', 'bex', store, record)
    try:
        await node.start()
        await node.wait_ready()
        # The machine and the store are calm for longer than stable_ms.
        await asyncio.sleep(5)
        return await send_requests(record, node)
    finally:
        await node.end()


async def send_requests(record: st.Record, node: st.Node) -> int:
    """Send deadly requests, each again; count what stays unanswered."""
    client = st.Client(record, node)

    async def send_twice(number: int) -> list[float]:
        """Send a request, and once more half a second after its end."""
        await asyncio.sleep(number * PAUSE_S)
        durations = []
        for _attempt in range(2):
            sent_at = time.monotonic()
            reply = await client.call(
                'POST',
                f'/archive/{number}',
                {
                    'X-Cassiarail-Model': MODEL.name,
                    'X-Cassiarail-Token-Count': '715,300',
                    'X-Cassiarail-Prompt-Prefix': (
                        f'a{number}:172,b{number}:543'
                    ),
                },
                b'deadly %d' % number,
                deadline_s=20,
                gap_s=GAP_S,
            )
            durations.append(reply.ended_at - sent_at)
            await asyncio.sleep(0.5)
        return durations

    results = await asyncio.gather(*map(send_twice, range(REQUESTS)))
    durations = [each for pair in results for each in pair]
    unanswered = [each for each in durations if each > TIMEOUT_S]
    late = [each for each in unanswered if each > TIMEOUT_S + SLACK_S]
    rounded = [round(each, 2) for each in durations]
    record.note(f'the requests ended after {rounded} s')
    record.note(
        f'without an end at the timeout of {TIMEOUT_S} s: {len(unanswered)};'
        f' {SLACK_S} s later: {len(late)}'
    )
    for line in node.read_log().splitlines():
        if '"event":2101' in line:
            record.note(f'log of the process: {line}')
    is_broken = len(late) >= MIN_LATE and len(late) > len(unanswered) / 2
    return st.BROKEN if is_broken else st.HELD


st.run_case(FOLDER, case)
