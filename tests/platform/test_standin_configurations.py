"""Tests of the versions that the stand-in publishes."""

import json
import time
from typing import Any

from quetzallock_platform.store import CONFIG_KEY, CONFIG_TOPIC
from quetzallock_platform_standin.configurations import (
    MAX_ADDED_ROUTES,
    MAX_VERSION_STEP,
    Configurations,
)
from quetzallock_platform_standin.store import StandinStore

COUNT = 40


def publish(count: int) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Publish the first version and `count` more; return their record and the documents."""
    store = StandinStore()
    configurations = Configurations(store)
    configurations.publish(1)
    documents = []
    for _ in range(count):
        configurations.publish_next()
        _offset, value = store.get_partition(CONFIG_TOPIC, 0).newest[CONFIG_KEY]
        documents.append(json.loads(value))
    return configurations.list_versions(), documents


def test_each_version_adds_a_route_and_the_permanent_one_stays() -> None:
    versions, _documents = publish(COUNT)
    assert versions[0]["prefixes"] == ("/jobs/",)
    for old, new in zip(versions, versions[1:], strict=False):
        assert new["prefixes"][0] == "/jobs/"
        assert len(set(new["prefixes"]) - set(old["prefixes"])) == 1
        assert len(new["prefixes"]) <= MAX_ADDED_ROUTES + 1


def test_removed_route_never_comes_back() -> None:
    versions, _documents = publish(COUNT)
    removed: set[str] = set()
    for old, new in zip(versions, versions[1:], strict=False):
        removed |= set(old["prefixes"]) - set(new["prefixes"])
        assert not removed & set(new["prefixes"])
    assert removed


def test_versions_rise_in_uneven_steps() -> None:
    versions, _documents = publish(COUNT)
    numbers = [version["version"] for version in versions]
    steps = {new - old for old, new in zip(numbers, numbers[1:], strict=False)}
    assert steps == set(range(1, MAX_VERSION_STEP + 1))


def test_record_holds_what_was_written_and_when() -> None:
    began_at = time.monotonic() * 1_000
    versions, documents = publish(COUNT)
    times = [version["acknowledged_at"] for version in versions]
    assert times == sorted(times)
    assert began_at - 1 <= times[0] <= times[-1] <= time.monotonic() * 1_000
    for version, document in zip(versions[1:], documents, strict=True):
        assert document["version"] == version["version"]
        assert tuple(route["pathPrefix"] for route in document["routes"]) == version["prefixes"]
    assert len({document["routes"][0]["timeoutMs"] for document in documents}) > 1
