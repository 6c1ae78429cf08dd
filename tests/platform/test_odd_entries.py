"""Every field, and the key, of another writer's entry, changed to every odd kind."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.cells import Cell
from quetzallock_core.cells.models import Bounds, WorkerEntry
from quetzallock_core.clock import ManualClock
from quetzallock_core.codec import encode
from quetzallock_platform.records import MAX_WORKER_ID_BYTES, decode_entry
from quetzallock_platform.values import MAX_INT
from quetzallock_platform.workers import _make_head

from .test_records import ENTRY

PATHS = [*ENTRY, "capacity.cpu", "capacity.memMb", "capacity.gpu", "labels.0", "labels.1"]
UNUSED = {"clockMs"}
"""Fields that the pages name only in examples, and that nothing reads."""

NUMBERS = {
    "slots",
    "coldRemainingMs",
    "sequence",
    "born",
    "capacity.cpu",
    "capacity.memMb",
    "capacity.gpu",
}
TEXTS = {"service", "zone", "version", "labels.0", "labels.1"}
ODD_KINDS = {
    "null": "null",
    "flag": "true",
    "text": '"soon"',
    "empty": '""',
    "integer": "5",
    "negative": "-5",
    "fraction": "1.5",
    "beyond 53 bits": str(2**53),
    "beyond 64 bits": str(2**64),
    "float too large": "1e300",
    "not finite": "1e999",
    "400 digits": "1" + 400 * "0",
    "5000 digits": "1" + 5_000 * "0",
    "nested deep": 900 * "[" + 900 * "]",
    "nested too deep": 100_000 * "[" + 100_000 * "]",
    "object": "{}",
    "list": "[1, null, {}]",
    "control characters": '"a\\u0000\\r\\nb"',
    "half a surrogate pair": '"\\ud83d"',
    "long": '"' + 300_000 * "x" + '"',
    "missing": None,
}
TEXT_KINDS = {"text", "control characters", "long"}


def change(path: str, odd: str | None) -> bytes:
    """Return the entry with one value replaced by JSON text, or without it."""
    entry: Any = json.loads(json.dumps(ENTRY))
    table, _, name = path.rpartition(".")
    parent = entry[table] if table else entry
    key: Any = int(name) if isinstance(parent, list) else name
    if odd is None:
        del parent[key]
        return json.dumps(entry).encode()
    parent[key] = "@odd@"
    return json.dumps(entry).replace('"@odd@"', odd).encode()


def is_allowed(path: str, kind: str) -> bool:
    """Return whether the pages allow a value of this kind in the field."""
    if path in UNUSED:
        return kind not in {"not finite", "5000 digits", "nested too deep", "half a surrogate pair"}
    if path in NUMBERS:
        cold_time = path == "coldRemainingMs" and kind in {"negative", "fraction"}
        return kind == "integer" or cold_time
    if path.startswith("labels."):
        return kind in TEXT_KINDS | {"empty", "missing"}
    return path in TEXTS and (kind in TEXT_KINDS or (kind == "empty" and path != "service"))


def check_use(entry: WorkerEntry) -> None:
    """Check that a cell and the calls to the worker can use an entry, and the journal hold it."""
    numbers = (
        entry.boot_ms,
        entry.cold_remaining_ms,
        *(getattr(entry.capacity, name) for name in ("cpu", "memory_mb", "gpus")),
    )
    assert all(isinstance(number, int) and 0 <= number <= MAX_INT for number in numbers)
    cell = Cell(0, 1, Bounds(evacuation_ms=5_000), ManualClock(), lambda: 0)
    cell.handle_entries({entry.worker: entry})
    cell.tick()
    for record in cell.batches.pop_batch().records:
        encode(record.value)
    _make_head("/hold", entry.address, entry.worker)


@pytest.mark.parametrize("kind", ODD_KINDS)
@pytest.mark.parametrize("path", PATHS)
def test_odd_field_is_usable_or_names_no_worker(path: str, kind: str) -> None:
    """Other systems' readers ended or stopped following the list at such an entry."""
    entry = decode_entry("i-1", change(path, ODD_KINDS[kind]))
    assert (entry is not None) == is_allowed(path, kind)
    if entry is not None:
        check_use(entry)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:" + 5_000 * "1",
        "10.0.0.1:\u0663",
        "10.0.0.1: 80",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1:80:90",
        "10.0.0.1",
        ":80",
        "host.example:80",
        "999.1.1.1:80",
        "[::1]:80",
        "10.0.0.1\r\nX: y:80",
        "",
    ],
)
def test_address_that_cannot_be_called_names_no_worker(address: str) -> None:
    """A port out of range or a name to be looked up would fail or delay each poll."""
    assert decode_entry("i-1", json.dumps({**ENTRY, "address": address}).encode()) is None


@pytest.mark.parametrize(
    "worker",
    [
        "",
        "i\r\nX-Injected: y",
        "i 1",
        "\u00e9",
        "\u65e5\u672c",
        "\ufffd",
        "x" * (MAX_WORKER_ID_BYTES + 1),
        "x" * 300,
    ],
)
def test_key_that_is_no_id_names_no_worker(worker: str) -> None:
    """It goes into a header of each call to the worker, and into a key of the journal."""
    assert decode_entry(worker, json.dumps(ENTRY).encode()) is None


@pytest.mark.parametrize("worker", ["i-7f3a91c2", "x", "x" * MAX_WORKER_ID_BYTES])
def test_worker_with_any_other_key_is_used(worker: str) -> None:
    entry = decode_entry(worker, json.dumps(ENTRY).encode())
    assert entry is not None
    check_use(entry)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda values: (
        st.lists(values, max_size=3) | st.dictionaries(st.text(max_size=4), values, max_size=3)
    ),
    max_leaves=6,
)


@given(st.text(max_size=300), st.sampled_from(PATHS), JSON_VALUES)
def test_any_value_in_any_field_is_usable_or_names_no_worker(
    worker: str, path: str, value: object
) -> None:
    entry = decode_entry(worker, change(path, json.dumps(value)))
    if entry is not None:
        check_use(entry)
