"""Reading workers' entries from the store, among which other writers may leave any bytes."""

import asyncio
import json
from typing import Any

import pytest

from quetzallock_core.cells.models import WorkerEntry
from quetzallock_platform.store import ENTRIES_TOPIC

from .test_evacuations import make_store
from .test_records import ENTRY

BORN = ENTRY["born"]


class FollowedEntries:
    """The workers' entries as a follower of the store keeps them."""

    def __init__(self) -> None:
        self._standin, self._store = make_store()
        self._offset: int | None = None
        self.known: dict[str, WorkerEntry] = {}

    def write(self, worker: str, entry: dict[str, Any] | bytes) -> None:
        data = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        self._standin.put(ENTRIES_TOPIC, worker, data)

    def follow(self) -> dict[str, WorkerEntry]:
        """Read what was written since the last call, and return all entries."""
        if self._offset is None:
            page = asyncio.run(self._store.read_entries())
        else:
            page = asyncio.run(self._store.read_entry_changes(self._offset))
        self._offset = page.next_offset
        for change in page.changes:
            if change.entry is None:
                self.known.pop(change.worker, None)
            else:
                self.known[change.worker] = change.entry
        return self.known


UNREADABLE: list[dict[str, Any] | bytes] = [
    {name: value for name, value in ENTRY.items() if name != "born"},
    {**ENTRY, "born": None},
    {**ENTRY, "state": "dancing"},
    b"\xff\xfe",
    b"[" * 5_000,
]


@pytest.mark.parametrize("unreadable", UNREADABLE)
@pytest.mark.parametrize("is_read_between", [True, False])
def test_unreadable_entry_leaves_the_known_one_of_its_worker(
    unreadable: dict[str, Any] | bytes, is_read_between: bool
) -> None:
    """One without `born` counted as the next boot of the worker, whose tasks then ran twice."""
    entries = FollowedEntries()
    entries.follow()
    entries.write("i-1", ENTRY)
    if is_read_between:
        entries.follow()
    entries.write("i-1", unreadable)
    assert entries.follow()["i-1"].boot_ms == BORN
    entries.write("i-1", {**ENTRY, "state": "draining"})
    assert entries.follow()["i-1"].is_draining


@pytest.mark.parametrize("unreadable", UNREADABLE)
def test_unreadable_entry_names_no_worker_and_the_others_hold(
    unreadable: dict[str, Any] | bytes,
) -> None:
    entries = FollowedEntries()
    entries.write("i-1", unreadable)
    entries.write("i-2", ENTRY)
    assert list(entries.follow()) == ["i-2"]
    entries.write("i-3", unreadable)
    assert list(entries.follow()) == ["i-2"]


def test_deleted_entry_names_no_worker() -> None:
    entries = FollowedEntries()
    entries.write("i-1", ENTRY)
    entries.follow()
    entries.write("i-1", b"")
    assert entries.follow() == {}
