"""Tells the owners of shards what workers say of their tasks."""

from ..core import Core
from ..helpers.hashing import choose_shard_owner, hash_to_range
from ..members import Members
from ..members.models import MembersChanged
from ..workers.models import TaskStatus
from .const import PlacementSettings
from .held import HeldWorker
from .models import AskAttempts, TaskReport


class Reporter:
    """Groups statuses by shard and sends them to the shard's owner."""

    def __init__(
        self, core: Core, members: Members, settings: PlacementSettings, shards: int
    ) -> None:
        self._core = core
        self._members = members
        self._settings = settings
        self._shards = shards
        self._owners: dict[int, str | None] = {}
        core.listen(MembersChanged, lambda _event, _source: self._owners.clear())

    def report_sync(
        self, held: HeldWorker, changed: tuple[TaskStatus, ...], complete: bool, now: int
    ) -> None:
        """Pass on what changed, and from time to time all there is."""
        if complete or now >= held.next_report:
            held.next_report = now + self._settings.report_ms
            changed = tuple(held.commitment.tasks.values())
        self.report(held, changed)

    def report(self, held: HeldWorker, statuses: tuple[TaskStatus, ...]) -> None:
        """Pass on statuses of one worker."""
        by_shard: dict[int, list[TaskStatus]] = {}
        for status in statuses:
            shard = hash_to_range(status.task.rpartition("/")[0], self._shards)
            by_shard.setdefault(shard, []).append(status)
        for shard, group in by_shard.items():
            owner = self._find_owner(shard)
            if owner is not None:
                worker = held.info.worker
                report = TaskReport(shard, worker, held.boot, held.clock, tuple(group))
                self._core.send(owner, report)

    def answer(self, held: HeldWorker, ask: AskAttempts, source: str) -> None:
        """Tell the asker which of its attempts the worker knows."""
        known = [held.commitment.tasks.get(ref.task) for ref in ask.attempts]
        statuses = tuple(status for status in known if status is not None)
        absent = tuple(
            ref for ref, status in zip(ask.attempts, known, strict=True) if status is None
        )
        report = TaskReport(ask.shard, ask.worker, held.boot, held.clock, statuses, absent)
        self._core.send(source, report)

    def _find_owner(self, shard: int) -> str | None:
        if shard not in self._owners:
            self._owners[shard] = choose_shard_owner(shard, self._members.reachable)
        return self._owners[shard]
