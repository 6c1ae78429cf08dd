"""A follower that is stopped and started again while a read of it is under way."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from quetzallock_core.cells.models import Resources, WorkerEntry
from quetzallock_daemon.cells.followers import EntriesFollower
from quetzallock_daemon.cells.ports import EntryChange, EntryPage

OLD = WorkerEntry("w", 1, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")
NEW = WorkerEntry("w", 2, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")


class SlowStore:
    """Answers each read when the test says so."""

    def __init__(self) -> None:
        self.reads: list[Deferred[EntryPage]] = []

    async def read_entries(self) -> EntryPage:
        return await self._read()

    async def read_entry_changes(self, _offset: int) -> EntryPage:
        return await self._read()

    async def _read(self) -> EntryPage:
        self.reads.append(Deferred())
        return await self.reads[-1]


def restart_during_a_read() -> tuple[Clock, SlowStore, list[int]]:
    """Return a store with the reads under way, and the boots of the worker that were passed on."""
    reactor, store = Clock(), SlowStore()
    boots: list[int] = []
    follower = EntriesFollower(
        reactor,
        store,  # type: ignore[arg-type]
        lambda entries: boots.extend(entry.boot_ms for entry in entries.values()),
    )
    follower.start()
    follower.stop()
    follower.start()
    return reactor, store, boots


def test_follower_that_is_started_again_makes_one_read_at_a_time() -> None:
    """Guards against one more loop of reads for each time that a host loses its last cell."""
    reactor, store, _ = restart_during_a_read()
    assert len(store.reads) == 1
    for read in list(store.reads):
        read.callback(EntryPage((EntryChange("w", OLD),), 1))
    for _ in range(10_000):
        reactor.advance(0.001)
    assert len(store.reads) == 2


def test_late_answer_to_an_earlier_read_does_not_replace_a_newer_entry() -> None:
    """Guards against an earlier boot of a worker that counts as its next one."""
    _, store, boots = restart_during_a_read()
    store.reads[-1].callback(EntryPage((EntryChange("w", NEW),), 2))
    if not store.reads[0].called:
        store.reads[0].callback(EntryPage((EntryChange("w", OLD),), 1))
    assert boots == [2]
