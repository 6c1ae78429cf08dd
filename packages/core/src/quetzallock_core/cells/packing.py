"""Chooses the placement policy of each pool from its load and from what recent jobs asked for."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from .jobs import Job
from .models import JobSpec
from .policies import (
    MIN_POLICY_MS,
    PLACEMENTS,
    SPREAD,
    PlacementPolicy,
    PoolLoad,
    choose_policy,
)
from .workers import Worker

CHECK_INTERVAL_MS: Final = 1_000
"""Minimum time between two looks at the load of all workers."""

SIZE_CLASS_CPU: Final = 500
"""Requested sizes are recorded rounded up to this, in thousandths of a core."""

HALF_LIFE_MS: Final = 30_000
"""Time after which the tasks that a job asked for count half; covers several swings of demand."""

WIDE_SHARE: Final = 0.1
"""Share of the requested CPU that tasks must ask for together to count as the widest, so that
a single odd job does not decide the policy."""

FORGOTTEN_CPU: Final = 1.0
"""Decayed weight, in thousandths of a core, below which a size is dropped from the record."""


class RequestedSizes:
    """Decayed record of the sizes of tasks that recent jobs of one pool asked for.

    It answers a mix of sizes that changes with the jobs: wide tasks that came lately count although
    none of them waits at the moment, and those that no longer come are forgotten. Best-effort tasks
    are left out, since they commit no CPU, and long-running ones, since they are what is
    packed.
    """

    def __init__(self) -> None:
        self._weights: defaultdict[int, float] = defaultdict(float)
        self._decayed_at = 0

    def add(self, spec: JobSpec, age_ms: int, now: int) -> None:
        """Add the tasks of a job that was accepted `age_ms` ago."""
        self._decay(now)
        share = 0.5 ** (age_ms / HALF_LIFE_MS)
        for step in spec.steps:
            if step.fills or step.lasting:
                continue
            size = -(-step.needs.cpu // SIZE_CLASS_CPU) * SIZE_CLASS_CPU
            self._weights[size] += share * step.count * step.needs.cpu

    def find_widest(self, limit: int, now: int) -> int:
        """Return the size up to `limit` that the widest tasks ask for, or 0 without any.

        Args:
            limit: Size of the largest worker; wider tasks fit nowhere under any policy.
            now: Local ms.
        """
        self._decay(now)
        sizes = sorted((size for size in self._weights if size <= limit), reverse=True)
        wide_weight = WIDE_SHARE * sum(self._weights[size] for size in sizes)
        weight = 0.0
        for size in sizes:
            weight += self._weights[size]
            if weight >= wide_weight:
                return size
        return 0

    def _decay(self, now: int) -> None:
        if now - self._decayed_at < CHECK_INTERVAL_MS:
            return
        share = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_MS)
        self._decayed_at = now
        for size in list(self._weights):
            self._weights[size] *= share
            if self._weights[size] < FORGOTTEN_CPU:
                del self._weights[size]


class PolicyChooser:
    """The placement policies in force, by pool.

    Attributes:
        policies: Policy by pool; pools without an entry are spread.
        names: Names of these policies.
    """

    def __init__(self) -> None:
        self.policies: dict[str, PlacementPolicy] = {}
        self.names: dict[str, str] = {}
        self._requested: dict[str, RequestedSizes] = {}
        self._changed_at: dict[str, int] = {}
        self._checked_at = -CHECK_INTERVAL_MS

    def add_job(self, job: Job, now: int) -> None:
        """Record the sizes of the tasks that `job` asks for."""
        requested = self._requested.setdefault(job.policy.service, RequestedSizes())
        requested.add(job.spec, max(0, now - job.accepted_at), now)

    def update(self, workers: Iterable[Worker], now: int, log: Callable[..., None]) -> None:
        """Choose the policies anew if that was long enough ago, and log each change.

        A pool's policy lasts for `MIN_POLICY_MS` at least, except for the first choice.
        """
        if now - self._checked_at < CHECK_INTERVAL_MS:
            return
        self._checked_at = now
        for service, load in self._measure(workers, now).items():
            current = self.names.get(service, SPREAD)
            changed_at = self._changed_at.get(service)
            if changed_at is not None and now - changed_at < MIN_POLICY_MS:
                continue
            name = choose_policy(load, current)
            if name == current:
                continue
            self.names[service] = name
            self.policies[service] = PLACEMENTS.get(name)
            self._changed_at[service] = now
            log(
                "placement.policy",
                service=service,
                policy=name,
                lasting_share=round(load.lasting_share, 2),
                piece=round(load.spread_piece_cpu),
                widest=load.widest_cpu,
            )

    def _measure(self, workers: Iterable[Worker], now: int) -> Mapping[str, PoolLoad]:
        by_service: defaultdict[str, list[Worker]] = defaultdict(list)
        for worker in workers:
            if worker.entry.service in self._requested and worker.can_accept_task(now):
                by_service[worker.entry.service].append(worker)
        return {
            service: PoolLoad(
                len(pool),
                sum(worker.entry.capacity.cpu for worker in pool),
                sum(worker.lasting_cpu for worker in pool),
                self._requested[service].find_widest(
                    max(worker.entry.capacity.cpu for worker in pool), now
                ),
            )
            for service, pool in by_service.items()
        }
