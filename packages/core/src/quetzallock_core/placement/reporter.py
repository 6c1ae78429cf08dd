"""Reports the task statuses of workers to the owners of the tasks' shards."""

from ..core import Core
from ..helpers.hashing import choose_shard_owner, hash_to_range
from ..members import Members
from ..members.models import MembersChanged
from ..workers.models import TaskStatus
from .const import PlacementSettings
from .leased import LeasedWorker
from .models import QueryAttempts, TaskReport


class Reporter:
    """Groups task statuses by shard and sends them to the owners of the shards."""

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
        self, worker: LeasedWorker, changed: tuple[TaskStatus, ...], complete: bool, now: int
    ) -> None:
        """Report changed statuses, or all if the list is complete or a full report is due."""
        if complete or now >= worker.next_report_at:
            worker.next_report_at = now + self._settings.report_ms
            changed = tuple(worker.commitment.tasks.values())
        self.report(worker, changed)

    def report(self, worker: LeasedWorker, statuses: tuple[TaskStatus, ...]) -> None:
        """Report statuses of one worker."""
        by_shard: dict[int, list[TaskStatus]] = {}
        for status in statuses:
            shard = hash_to_range(status.task.rpartition("/")[0], self._shards)
            by_shard.setdefault(shard, []).append(status)
        for shard, group in by_shard.items():
            owner = self._find_owner(shard)
            if owner is not None:
                name = worker.info.worker
                report = TaskReport(
                    shard, name, worker.boot, worker.answered_clock_ms, tuple(group)
                )
                self._core.send(owner, report)

    def answer_query(self, worker: LeasedWorker, query: QueryAttempts, source: str) -> None:
        """Send the statuses of the queried attempts and list the attempts that are unknown."""
        known = [worker.commitment.tasks.get(ref.task) for ref in query.attempts]
        statuses = tuple(status for status in known if status is not None)
        absent = tuple(
            ref for ref, status in zip(query.attempts, known, strict=True) if status is None
        )
        report = TaskReport(
            query.shard, query.worker, worker.boot, worker.answered_clock_ms, statuses, absent
        )
        self._core.send(source, report)

    def _find_owner(self, shard: int) -> str | None:
        if shard not in self._owners:
            self._owners[shard] = choose_shard_owner(shard, self._members.reachable)
        return self._owners[shard]
