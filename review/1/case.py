"""Demand moves to a model whose adapters don't fit beside the weights."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as st  # noqa: E402

SERVICE = 'salzmodell'
# Three of them leave 200 MB of the 200 GB of an engine.
TUNED = st.Model('m0', 66_600, adapters=9, adapter_mb=66)
PLAIN = (st.Model('m1', 66_600), st.Model('m2', 66_600))
MODELS = (TUNED, *PLAIN)
CALM_S = 8
SHIFTED_S = 15


async def run_stream(
    engine: st.Engine, request: st.Message, response: st.Response
) -> None:
    """Stream for about a second."""
    await st.run_stream(engine, request, response, 20, 0.05)


async def case(record: st.Record) -> int:
    """Return whether an engine is ordered to load more than it holds."""
    store = st.Store(record)
    await store.server.start()
    engines = [
        st.Engine('e0', SERVICE, store, record, models=MODELS).run_with(
            run_stream
        ),
        st.Engine(
            'e1', SERVICE, store, record, models=PLAIN, known=(TUNED,)
        ).run_with(run_stream),
    ]
    for engine in engines:
        await engine.start()
    store.put(
        'config',
        'main',
        st.make_configuration(
            1,
            [st.make_route('digest', SERVICE, 'stream')],
            [st.make_service(SERVICE, MODELS)],
        ),
    )
    node = st.Node('front-bex-1', 'bex', store, record)
    try:
        await node.start()
        await node.wait_ready()
        await asyncio.sleep(12)
        return await send_requests(record, node, engines)
    finally:
        await node.end()


async def send_requests(
    record: st.Record, node: st.Node, engines: list[st.Engine]
) -> int:
    """Ask for the plain models, then for the one with adapters."""
    client = st.Client(record, node)
    tasks = []
    for number in range((CALM_S + SHIFTED_S) * 10):
        is_shifted = st.HAS_TROUBLE and number >= CALM_S * 10
        wanted = PLAIN[number % 2].name
        if is_shifted:
            adapter = number % (TUNED.adapters + 1)
            wanted = f'{TUNED.name}/a{adapter}' if adapter else TUNED.name
        tasks.append(
            asyncio.ensure_future(
                client.call(
                    'POST',
                    f'/digest/{number}',
                    {
                        'X-Cassiarail-Model': wanted,
                        'X-Cassiarail-Token-Count': '715,120',
                        'X-Cassiarail-Prompt-Prefix': f'a:172,b{number}:543',
                    },
                    b'prompt %d' % number,
                )
            )
        )
        await asyncio.sleep(0.1)
        if any(engine.overloads for engine in engines):
            break
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(15):
            replies = await asyncio.gather(*tasks)
            cut = sum(each.ending != 'whole' for each in replies)
            record.note(f'{len(replies)} requests sent, {cut} cut')
    for engine in engines:
        for text in engine.overloads:
            record.note(f'{engine.name}: {text}')
        record.note(f'{engine.name} lost these runs: {engine.lost}')
    is_broken = any(engine.overloads for engine in engines)
    return st.BROKEN if is_broken else st.HELD


st.run_case(FOLDER, case)
