"""Tests of the entries that the stand-in writes as another writer."""

import json

import pytest
from twisted.internet.task import Clock

from quetzallock_platform.store import ENTRIES_TOPIC
from quetzallock_platform_standin import model
from quetzallock_platform_standin.model import BOOT_SHIFT_MS, FALSE_ENTRIES, Listener, Standin


@pytest.mark.parametrize("kind", FALSE_ENTRIES)
def test_false_entry_holds_until_the_worker_writes_its_own(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    monkeypatch.setattr(model, "reactor", Clock())
    standin = Standin(3, lambda _standin, worker: Listener(f"{worker.id}:1", lambda: None))
    entries = standin.store.get_partition(ENTRIES_TOPIC, 0).newest
    true_entry = json.loads(entries["w2"][1])
    standin.write_false_entry(kind, "w2")
    entry = json.loads(entries["w2"][1])
    born = true_entry["born"]
    expected = {
        "first-boot": {"born": 1},
        "earlier-boot": {"born": born - BOOT_SHIFT_MS},
        "later-boot": {"born": born + BOOT_SHIFT_MS},
        "other-address": {"address": "w0:1"},
    }[kind]
    assert entry == true_entry | expected | {"sequence": entry["sequence"]}
    standin.write_entries()
    entry = json.loads(entries["w2"][1])
    assert entry == true_entry | {"sequence": entry["sequence"]}
