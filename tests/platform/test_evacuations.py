"""Evacuation requests in the topic of the configuration, some of them faulty."""

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import pytest

from quetzallock_core.exceptions import InvalidInputError
from quetzallock_daemon.cells.ports import ConfigPage, EvacuationChange, HistoryGoneError
from quetzallock_daemon.transport import Reply
from quetzallock_platform.evacuations import EvacuationDecoder
from quetzallock_platform.records import decode_entry
from quetzallock_platform.settings import load_settings
from quetzallock_platform.store import CONFIG_TOPIC, PlatformStore
from quetzallock_platform_standin.store import StandinStore

from .test_records import ENTRY
from .test_settings import SETTINGS

LISTED = frozenset({"a", "b"})
TIMEOUT_MS = 600


class StandinClient:
    """Answers the calls of `PlatformStore` from the stand-in of the store."""

    def __init__(self, store: StandinStore, records_per_read: int = 100) -> None:
        self.store = store
        self.records_per_read = records_per_read

    async def call(self, _address: str, request: bytes, _timeout_ms: int, **_limits: Any) -> Reply:
        url = urlsplit(request.split(b" ")[1].decode())
        query = dict(parse_qsl(url.query))
        if url.path == "/log-newest":
            return Reply(200, json.dumps(self.store.read_newest(query)).encode())
        status, body = self.store.read(query)
        return Reply(status, self._cut(body) if isinstance(body, bytes) else b"")

    def _cut(self, body: bytes) -> bytes:
        """Return a read with the first `records_per_read` records."""
        position = 16
        for _ in range(self.records_per_read):
            if position < len(body):
                position += 4 + int.from_bytes(body[position : position + 4], "big")
        return body[:position]


def make_store(records_per_read: int = 100) -> tuple[StandinStore, PlatformStore]:
    """Return the stand-in of the store, and a client of it."""
    standin = StandinStore()
    client: Any = StandinClient(standin, records_per_read)
    return standin, PlatformStore(client, "store:1", 12, EvacuationDecoder(LISTED))


def read(store: PlatformStore, offset: int | None = None) -> ConfigPage:
    """Return the newest records, or the changes from `offset` on."""
    if offset is None:
        return asyncio.run(store.read_configuration(TIMEOUT_MS))
    return asyncio.run(store.read_configuration_changes(offset, 0, TIMEOUT_MS))


def test_requests_are_decoded_with_the_configuration() -> None:
    standin, store = make_store()
    standin.put(CONFIG_TOPIC, "config", b'{"version": 3, "routes": []}')
    standin.put(CONFIG_TOPIC, "evacuate/a", b"{}")
    page = read(store)
    assert page.configuration is not None
    assert page.evacuations == (EvacuationChange("a", True),)
    standin.put(CONFIG_TOPIC, "evacuate/a", b"")
    standin.put(CONFIG_TOPIC, "evacuate/b", b"{}")
    changes = read(store, page.next_offset)
    assert set(changes.evacuations) == {EvacuationChange("a", False), EvacuationChange("b", True)}
    assert read(store).evacuations == (EvacuationChange("b", True),)


def test_read_that_does_not_reach_the_end_of_the_topic_is_incomplete() -> None:
    """An incomplete page must not confirm the requests, as later ones may be missing."""
    standin, store = make_store(records_per_read=1)
    standin.put(CONFIG_TOPIC, "evacuate/a", b"")
    standin.put(CONFIG_TOPIC, "evacuate/a", b"{}")
    first = read(store, 0)
    assert (first.next_offset, first.is_complete) == (1, False)
    second = read(store, 1)
    assert second.is_complete
    assert second.evacuations == (EvacuationChange("a", True),)


def test_compacted_history_is_reported() -> None:
    standin, store = make_store()
    standin.put(CONFIG_TOPIC, "evacuate/a", b"{}")
    standin.get_partition(CONFIG_TOPIC, 0).compact()
    with pytest.raises(HistoryGoneError):
        read(store, 0)
    assert read(store).evacuations == (EvacuationChange("a", True),)


def test_unlisted_data_centre_has_no_effect_but_one_warning(
    caplog: pytest.LogCaptureFixture,
) -> None:
    decoder = EvacuationDecoder(LISTED)
    records = {"evacuate/z": b"{}", "evacuate/": b"{}", "evacuate/a": b"{}"}
    for _ in range(2):
        assert decoder.decode(records) == (EvacuationChange("a", True),)
    keys = Counter(record.__dict__["key"] for record in caplog.records)
    assert keys == {"evacuate/z": 1, "evacuate/": 1}


@pytest.mark.parametrize("value", [b"{", b"\xff\x00", b"[]", b"null", b" "])
def test_undecodable_value_counts_as_a_request_and_is_logged_once(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    decoder = EvacuationDecoder(LISTED)
    for _ in range(2):
        changes = decoder.decode({"evacuate/a": value, "evacuate/b": b"{}"})
        assert changes == (EvacuationChange("a", True), EvacuationChange("b", True))
    (record,) = caplog.records
    assert (record.levelname, record.__dict__["key"]) == ("WARNING", "evacuate/a")


def write_settings(tmp_path: Path, bounds: str, zones: str = "") -> str:
    """Write a settings file with additional lines, and return its path."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace("[bounds]\n", f"[bounds]\n{bounds}\n") + zones)
    return str(path)


def test_bound_and_data_centres_are_read_from_the_settings(tmp_path: Path) -> None:
    zones = "\n[zones]\na = {x = 1}\nb = {}\n"
    settings = load_settings(write_settings(tmp_path, "evacuationMs = 5000", zones), cells=1)
    assert settings.host.bounds.evacuation_ms == 5_000
    assert settings.data_centres == LISTED
    settings = load_settings(write_settings(tmp_path, ""), cells=1)
    assert settings.host.bounds.evacuation_ms == 0
    assert settings.data_centres is None


@pytest.mark.parametrize("zones", ['names = ["a", "b"]', "a = 1\nb = 2"])
def test_other_lists_of_data_centres_do_not_keep_the_host_from_starting(
    tmp_path: Path, zones: str
) -> None:
    path = write_settings(tmp_path, "evacuationMs = 5000", f"\n[zones]\n{zones}\n")
    data_centres = load_settings(path, cells=1).data_centres
    assert data_centres is not None
    assert data_centres >= LISTED


def test_bound_with_which_no_task_could_start_is_a_finding(tmp_path: Path) -> None:
    with pytest.raises(InvalidInputError, match="evacuationMs"):
        load_settings(write_settings(tmp_path, "evacuationMs = 700"), cells=1)


@pytest.mark.parametrize(("value", "expected"), [(2_500, 2_500), (2_500.5, 2_500), (-1, 0)])
def test_unusual_cold_time_does_not_hide_the_worker(value: object, expected: int) -> None:
    entry = decode_entry("i-1", json.dumps({**ENTRY, "coldRemainingMs": value}).encode())
    assert entry is not None
    assert entry.cold_remaining_ms == expected


@pytest.mark.parametrize("value", ["soon", True, None])
def test_entry_with_a_cold_time_of_another_type_names_no_worker(value: object) -> None:
    assert decode_entry("i-1", json.dumps({**ENTRY, "coldRemainingMs": value}).encode()) is None
