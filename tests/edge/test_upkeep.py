"""Test that changed settings are applied whenever they change."""

import asyncio
import json

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge import upkeep
from cassiarail.edge.upkeep import SettingsWatch


def watch(tmp_path, monkeypatch, loaded, stored):
    """Return the settings that a process applies after its start."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(stored))
    monkeypatch.setattr(
        upkeep, 'load_edge_settings', lambda path: json.loads(path.read_text())
    )
    applied = []

    async def main():
        watching = SettingsWatch(path, LoopClock(), applied.append, loaded)
        task = asyncio.create_task(watching.run())
        await asyncio.sleep(5)
        task.cancel()

    run_virtual(main)
    return applied


def test_settings_that_change_during_the_start_are_applied(
    tmp_path, monkeypatch
):
    # The file was stamped after it had been read, so that a change between
    # the two was never noticed.
    changed = {'link_mbps': 2}
    applied = watch(tmp_path, monkeypatch, {'link_mbps': 1}, changed)
    assert applied == [changed]


def test_unchanged_settings_are_not_applied_again(tmp_path, monkeypatch):
    settings = {'link_mbps': 1}
    assert not watch(tmp_path, monkeypatch, settings, settings)
