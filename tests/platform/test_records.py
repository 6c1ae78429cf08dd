"""Decoding of workers' entries, the configuration and keyed records of the platform's store.

Other programs write these records: a malformed one must be ignored or rejected, never crash a host.
"""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.exceptions import InvalidInputError
from quetzallock_platform.records import (
    decode_configuration,
    decode_entry,
    decode_keyed_record,
    encode_keyed_record,
    split_records,
)

ENTRY = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "sequence": 4,
    "born": 1700000000123,
}
ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "pathPrefix": "/a/",
    "kind": "non_idempotent",
    "timeoutMs": 3000,
    "targetCompletionMs": 250,
    "priority": 0,
    "service": "desk",
    "maxAttempts": 2,
    "slackFactor": 1.5,
}


def test_entry_is_decoded() -> None:
    entry = decode_entry("i-1", json.dumps(ENTRY).encode())
    assert entry is not None
    assert (entry.worker, entry.boot_ms, entry.rack, entry.is_draining) == (
        "i-1",
        1700000000123,
        "r1-3",
        False,
    )


def test_draining_state_is_decoded() -> None:
    entry = decode_entry("i-1", json.dumps({**ENTRY, "state": "draining"}).encode())
    assert entry is not None
    assert entry.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"address": 5},
        {"address": "nowhere"},
        {"capacity": []},
        {"labels": [1]},
        {"service": None},
        {"born": "yesterday"},
    ],
)
def test_malformed_entry_is_ignored(change: dict[str, object]) -> None:
    assert decode_entry("i-2", json.dumps({**ENTRY, **change}).encode()) is None


@pytest.mark.parametrize(
    ("capacity", "field"),
    [
        (None, "capacity"),
        ("16000", "capacity"),
        ({"cpu": -1000}, "capacity.cpu"),
        ({"cpu": "16000"}, "capacity.cpu"),
        ({"cpu": 0.5}, "capacity.cpu"),
        ({"cpu": 16000, "memMb": True}, "capacity.memMb"),
        ({"cpu": 16000, "memMb": 32768, "gpu": None}, "capacity.gpu"),
    ],
)
def test_entry_with_an_unusable_capacity_is_ignored_and_the_field_is_logged(
    capacity: object, field: str, caplog: pytest.LogCaptureFixture
) -> None:
    worker = f"i-{len(str(capacity))}-{field}"
    assert decode_entry(worker, json.dumps({**ENTRY, "capacity": capacity}).encode()) is None
    (record,) = caplog.records
    assert record.__dict__["worker"] == worker
    assert record.__dict__["error"].startswith(f"{field}:")


TOO_LARGE = [2**53, 2**64, 1e300, 10**400]


@pytest.mark.parametrize("number", TOO_LARGE)
@pytest.mark.parametrize("path", ["born", "capacity.cpu", "capacity.memMb", "capacity.gpu"])
def test_entry_with_a_number_too_large_is_ignored_and_the_field_is_logged(
    path: str, number: float, caplog: pytest.LogCaptureFixture
) -> None:
    """The journal could not encode such a number, and stopped."""
    table, _, field = path.rpartition(".")
    entry: dict[str, Any] = json.loads(json.dumps(ENTRY))
    (entry[table] if table else entry)[field] = number
    worker = f"i-{path}-{TOO_LARGE.index(number)}"
    assert decode_entry(worker, json.dumps(entry).encode()) is None
    (record,) = caplog.records
    assert record.__dict__["error"].startswith(f"{path}:")


@pytest.mark.parametrize("number", TOO_LARGE)
@pytest.mark.parametrize(
    "field", ["priority", "maxAttempts", "slackFactor", "targetCompletionMs", "timeoutMs"]
)
def test_number_too_large_in_a_route_is_reported(field: str, number: float) -> None:
    data = json.dumps({"version": 7, "routes": [{**ROUTE, field: number}]}).encode()
    with pytest.raises(InvalidInputError, match=field):
        decode_configuration(data)


def test_entry_without_a_capacity_is_ignored() -> None:
    entry = {name: value for name, value in ENTRY.items() if name != "capacity"}
    assert decode_entry("i-4", json.dumps(entry).encode()) is None


@given(st.binary(max_size=40))
def test_arbitrary_bytes_do_not_raise(data: bytes) -> None:
    assert decode_entry("i-3", data) is None


def test_configuration_finds_the_longest_prefix() -> None:
    routes = [ROUTE, {**ROUTE, "name": "r-2", "pathPrefix": "/a/b/"}]
    configuration = decode_configuration(json.dumps({"version": 7, "routes": routes}).encode())
    queue = configuration.find_queue("shop.example", "/a/b/c")
    assert queue is not None
    assert queue.policy.queue == "r-2"
    assert configuration.find_queue("shop.example", "/z") is None
    assert configuration.find_queue("other.example", "/a/") is None


@pytest.mark.parametrize(("route", "weight"), [({}, 1.0), ({"weight": 2}, 2.0)])
def test_weight_of_a_queue_is_decoded(route: dict[str, object], weight: float) -> None:
    data = json.dumps({"version": 7, "routes": [{**ROUTE, **route}]}).encode()
    assert decode_configuration(data).queues[0].policy.weight == weight


@pytest.mark.parametrize("weight", [0, -1, 0.001, 101, 1e300, 10**400, True, "2", None, []])
def test_weight_out_of_range_is_reported_with_its_place(weight: object) -> None:
    """A weight of 0 would starve its queue, and a negative one would reverse the order."""
    routes = [ROUTE, {**ROUTE, "weight": weight}]
    with pytest.raises(InvalidInputError, match=r"routes\[1\]\.weight"):
        decode_configuration(json.dumps({"version": 7, "routes": routes}).encode())


def test_invalid_configuration_is_rejected() -> None:
    with pytest.raises(InvalidInputError, match="slackFactor"):
        decode_configuration(
            json.dumps({"version": 7, "routes": [{**ROUTE, "slackFactor": "x"}]}).encode()
        )


@given(st.text(max_size=60), st.binary(max_size=100))
def test_keyed_records_survive_a_round_trip(key: str, value: bytes) -> None:
    records = split_records(encode_keyed_record(key, value) * 2)
    assert [decode_keyed_record(record) for record in records] == [(key, value)] * 2
