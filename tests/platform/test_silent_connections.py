"""Calls after all open connections to an address have gone silent, while new ones work.

A host is in touch again `CONTACT_MS` after such a trouble, however many idle connections it had.
"""

import json
from collections import Counter
from typing import Any, Final

import pytest
from twisted.internet.defer import Deferred

from quetzallock_core.cells.models import Bounds, Resources, WorkerEntry
from quetzallock_daemon.cells.const import DEFAULT_DEADLINE_MS
from quetzallock_daemon.cells.followers import EntriesFollower
from quetzallock_daemon.cells.membership import MembershipTask, OwnersTask, StoreContact
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import Membership, StoreUnavailableError
from quetzallock_daemon.helpers import run_in_background, sleep
from quetzallock_platform.store import CELLS_TOPIC, ENTRIES_TOPIC, GROUP
from quetzallock_platform.workers import PlatformWorkers

from .. import emulated_network
from ..emulated_network import CALL_MS, EmulatedNetwork, EmulatedTransport
from .test_records import ENTRY

CONTACT_MS: Final = 3_000
ACK_MS: Final = 4_000
DRAIN_MS: Final = 2_000
MEMBER: Final = "h|10.0.0.9:1|1|1000"
WORKER_ADDRESS: Final = "10.0.0.2:1"
START_MS: Final = 3_000
READ_REQUEST: Final = b"GET /log-owners?group=none HTTP/1.1\r\n\r\n"
ORDER: Final = b"POST /pace HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
RETRY_MS: Final = 150


def silence_store(network: EmulatedNetwork, idle: int, phase_ms: int) -> int:
    """Let the open connections to the store go silent after the start, and return when."""
    network.run(START_MS)
    network.open_idle_connections(idle, READ_REQUEST)
    network.run(phase_ms)
    network.silence_open_connections()
    return network.now_ms


def measure_entries_delay(monkeypatch: pytest.MonkeyPatch, idle: int, phase_ms: int) -> int:
    """Return when a draining worker is known, in ms from its entry and the end of the trouble."""
    network = EmulatedNetwork(monkeypatch)
    network.put(ENTRIES_TOPIC, "w", json.dumps(ENTRY).encode())
    known_at: list[int] = []

    def handle_entries(entries: dict[str, WorkerEntry]) -> None:
        if entries["w"].is_draining:
            known_at.append(network.now_ms)

    EntriesFollower(network, network.make_platform_store(), handle_entries).start()
    ended_at = silence_store(network, idle, phase_ms)
    network.put(ENTRIES_TOPIC, "w", json.dumps({**ENTRY, "state": "draining"}).encode())
    network.run(30_000)
    return known_at[0] - ended_at


@pytest.mark.parametrize("idle", [1, 7])
def test_draining_worker_is_known_when_the_host_is_in_touch_again(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts on it past its bound, which is over by then."""
    delays = [measure_entries_delay(monkeypatch, idle, phase) for phase in range(0, 320, 40)]
    assert max(delays) <= CONTACT_MS


def has_lapsed(monkeypatch: pytest.MonkeyPatch, idle: int, phase_ms: int) -> bool:
    """Return whether the membership may have ended before its first renewal after the trouble."""
    network = EmulatedNetwork(monkeypatch)
    answers: list[bool] = []

    def handle_membership(_: Membership, _sent_at: int, may_have_ended: bool) -> bool:
        answers.append(may_have_ended)
        return True

    store = network.make_platform_store()
    MembershipTask(network, store, MEMBER, StoreContact(), handle_membership).start()
    silence_store(network, idle, phase_ms)
    answers.clear()
    network.run(10_000)
    return answers[0]


@pytest.mark.parametrize("idle", [1, 7])
def test_membership_outlasts_the_silent_connections(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a live host whose cells are assigned to others and loaded again."""
    assert not any(has_lapsed(monkeypatch, idle, phase) for phase in range(0, 400, 50))


def measure_owners_delay(monkeypatch: pytest.MonkeyPatch, idle: int, phase_ms: int) -> int:
    """Return when a new owner is known, in ms from its join and the end of the trouble."""
    network = EmulatedNetwork(monkeypatch)
    owners = OwnersTask(network, network.make_platform_store(), StoreContact())
    owners.start()
    ended_at = silence_store(network, idle, phase_ms)
    join = {"group": GROUP, "member": MEMBER, "topics": [CELLS_TOPIC]}
    network.store.join(join | {"ttlMs": 60_000, "generation": 0})
    while owners.find_address(0) is None:
        network.run(10)
    return network.now_ms - ended_at


@pytest.mark.parametrize("idle", [1, 7])
def test_new_owner_is_known_in_time_for_a_cancel_to_be_acknowledged(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a router that sends requests to a host which is gone, or to none."""
    delays = [measure_owners_delay(monkeypatch, idle, phase) for phase in range(0, 1_000, 100)]
    assert max(delays) <= CONTACT_MS + ACK_MS


@pytest.mark.parametrize("call_ms", [650, 1_500])
def test_owners_are_known_while_answers_of_the_store_are_slow(
    call_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a time limit for silent connections that no answer of a slow link keeps."""
    monkeypatch.setattr(emulated_network, "CALL_MS", call_ms)
    network = EmulatedNetwork(monkeypatch)
    join = {"group": GROUP, "member": MEMBER, "topics": [CELLS_TOPIC]}
    network.store.join(join | {"ttlMs": 60_000, "generation": 0})
    contact = StoreContact()
    owners = OwnersTask(network, network.make_platform_store(), contact)
    owners.start()
    network.run(10_000)
    assert owners.find_address(0) is not None
    assert not contact.is_lost()


@pytest.mark.parametrize("idle", [0, 7])
def test_new_owner_is_known_within_the_deadline_of_a_request(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    delays = [measure_owners_delay(monkeypatch, idle, phase) for phase in range(0, 1_000, 100)]
    assert max(delays) <= DEFAULT_DEADLINE_MS


@pytest.mark.parametrize("idle", [0, 7])
def test_draining_worker_is_known_within_the_bound_of_draining(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    delays = [measure_entries_delay(monkeypatch, idle, phase) for phase in range(0, 320, 40)]
    assert max(delays) <= DRAIN_MS


@pytest.mark.parametrize("idle", [1, 7])
def test_append_is_durable_when_the_host_is_in_touch_again(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an owner that still refuses new jobs, as its append is stuck."""
    network = EmulatedNetwork(monkeypatch)
    store = network.make_platform_store()
    durable_at: list[int] = []

    async def append() -> None:
        while not durable_at:
            try:
                await store.append(0, 1, 1, [("key", b"value")])
                durable_at.append(network.now_ms)
            except StoreUnavailableError:
                await sleep(network, RETRY_MS)

    ended_at = silence_store(network, idle, 0)
    run_in_background(append())
    network.run(20_000)
    assert durable_at[0] - ended_at <= CONTACT_MS


class LeasedWorker:
    """A worker that answers polls and records whether its lease has lapsed."""

    def __init__(self, network: EmulatedNetwork) -> None:
        self._network = network
        self._lease_end: int | None = None
        self.has_lapsed = False
        self.is_leased = False
        network.servers[WORKER_ADDRESS] = self._answer

    def check_lease(self) -> None:
        """Record whether the lease has lapsed by now."""
        self.is_leased = self._lease_end is not None
        if self._lease_end is not None and self._network.now_ms > self._lease_end:
            self.has_lapsed = True

    def _answer(self, transport: EmulatedTransport, _path: str, body: bytes) -> None:
        call = json.loads(body)
        self.check_lease()
        if "untilMs" in call:
            self._lease_end = max(self._lease_end or 0, call["untilMs"])
        wait_ms = call.get("waitMs", 0)
        inventory = {"clockMs": self._network.now_ms + wait_ms, "born": 1}
        answer = json.dumps(inventory | {"running": [], "finished": []}).encode()
        self._network.callLater((wait_ms + CALL_MS) / 1_000, transport.deliver, 200, answer)


def play_silent_polls(
    monkeypatch: pytest.MonkeyPatch, idle: int, is_draining: bool, phase_ms: int
) -> LeasedWorker:
    """Return a worker to which all connections of its owner went silent 10 s ago."""
    network = EmulatedNetwork(monkeypatch)
    worker = LeasedWorker(network)
    owner = CellOwner(
        network,
        0,
        1,
        Bounds(),
        network.make_platform_store(),
        PlatformWorkers(network.client),
        lambda _: None,
        Counter(),
        lambda *_: None,
    )

    def confirm_ownership() -> None:
        owner.ownership_confirmed_at = network.now_ms
        network.callLater(0.1, confirm_ownership)

    confirm_ownership()
    run_in_background(owner.take_over())
    network.run(100)
    entry = WorkerEntry("w", 1, "s", WORKER_ADDRESS, "a", is_draining, Resources(1, 1), (), "")
    owner.handle_entries({"w": entry})
    network.run(START_MS)
    network.open_idle_connections(idle, ORDER, WORKER_ADDRESS)
    network.run(1_000 + phase_ms)
    network.silence_open_connections(WORKER_ADDRESS)
    network.run(10_000)
    worker.check_lease()
    owner.stop()
    return worker


@pytest.mark.parametrize("is_draining", [False, True])
@pytest.mark.parametrize("idle", [1, 7])
def test_lease_outlasts_the_silent_connections_to_its_worker(
    idle: int, is_draining: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the end of all that runs on a live worker with a live owner."""
    for phase_ms in range(0, 1_000, 200):
        worker = play_silent_polls(monkeypatch, idle, is_draining, phase_ms)
        assert worker.is_leased
        assert not worker.has_lapsed


def test_unanswered_call_fails_while_others_use_its_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an emulated network that answers on silent connections."""
    network = EmulatedNetwork(monkeypatch)
    network.open_idle_connections(1, READ_REQUEST)
    network.silence_open_connections()
    results: list[Any] = []
    call: Deferred[Any] = network.client.call("10.0.0.1:80", READ_REQUEST, 500)
    call.addBoth(results.append)
    network.run(499)
    assert not results
    network.run(2)
    assert len(results) == 1
