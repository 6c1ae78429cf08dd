"""Dispatches events about jobs to the shards."""

from ..core import Core
from ..effects import Appended, ReadDone
from ..helpers.hashing import choose_shard_owner
from ..members.models import MembersChanged
from ..placement.models import CapacityReserved, TaskReport
from .models import CancelJob, ShowJob, SubmitJob, find_job
from .owner import ShardOwner, find_shard


class Shards:
    """All job shards, with this host's role in each."""

    def __init__(self, core: Core, owners: tuple[ShardOwner, ...]) -> None:
        self._core = core
        self.owners = owners
        self._by_stream = {owner.journal.stream: owner for owner in owners}
        self._assigned: frozenset[int] = frozenset()
        core.listen(MembersChanged, self._on_members)
        core.listen(Appended, self._on_appended)
        core.listen(ReadDone, self._on_read)
        core.listen(
            SubmitJob,
            lambda message, source: self.find(message.spec.job).on_submit(message, source),
        )
        core.listen(
            CancelJob, lambda message, source: self.find(message.job).on_cancel(message, source)
        )
        core.listen(
            ShowJob, lambda message, source: self.find(message.job).on_show(message, source)
        )
        core.listen(CapacityReserved, self._on_reserved)
        core.listen(TaskReport, self._on_report)
        core.every_tick(self._tick)

    @property
    def owned(self) -> tuple[ShardOwner, ...]:
        """The shards that this host owns."""
        return tuple(owner for owner in self.owners if owner.journal.is_owner)

    def find(self, job: str) -> ShardOwner:
        """Return the shard of `job`."""
        return self.owners[find_shard(job, len(self.owners))]

    def _on_members(self, event: MembersChanged, _source: str) -> None:
        for owner in self.owners:
            owner.journal.reset_claim_backoff()
        me = self._core.identity.host
        self._assigned = frozenset(
            owner.shard
            for owner in self.owners
            if choose_shard_owner(owner.shard, event.hosts) == me
        )

    def _tick(self, now: int) -> None:
        for owner in self.owners:
            is_assigned = owner.shard in self._assigned
            if is_assigned or owner.journal.state != "idle":
                owner.tick(now, is_assigned)

    def _on_appended(self, event: Appended, _source: str) -> None:
        owner = self._by_stream.get(event.stream)
        if owner is not None:
            owner.on_appended(event)

    def _on_read(self, event: ReadDone, _source: str) -> None:
        owner = self._by_stream.get(event.stream)
        if owner is not None:
            owner.on_read(event)

    def _on_reserved(self, answer: CapacityReserved, _source: str) -> None:
        tasks = [reservation.task for reservation in answer.reservations]
        tasks += [ref.task for ref in answer.refused]
        shards = {find_shard(find_job(task), len(self.owners)) for task in tasks}
        for shard in shards:
            self.owners[shard].on_reserved(answer)

    def _on_report(self, report: TaskReport, _source: str) -> None:
        if report.shard < len(self.owners):
            self.owners[report.shard].on_report(report)
