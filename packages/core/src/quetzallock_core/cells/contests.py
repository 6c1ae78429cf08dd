"""Places the steps of several queues of one priority in turns, by the service they have received.

Takes effect only where steps of at least two queues of one priority wait for the same workers.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterator, Mapping
from operator import itemgetter
from typing import Final, Generic, NamedTuple, TypeVar

from .const import LASTING_SERVICE_MS, MIN_SERVICE_CPU
from .durations import DurationEstimates
from .jobs import StepRun
from .models import QueuePolicy
from .ordering import CLASS_FIELDS, OrderKey
from .shares import ShareKey, Shares
from .state import CellState

T = TypeVar("T")

MIN_STARTS_PER_TURN: Final = 4
"""Starts of one queue before another may take over. Each change of the step ranks all workers."""

MAX_QUEUE_WAIT_MS: Final = 5_000
"""How long a queue without a start may be kept waiting by less late jobs of other queues."""

REPORT_INTERVAL_MS: Final = 1_000
"""Minimum time between two reports of a queue that is held back."""


class Contest(Generic[T]):
    """One round of placement of the steps of several queues, which share by weight.

    The queue with the least service for its weight is served until that holds for another one.
    Within a queue the steps keep their order.
    """

    def __init__(self, shares: Shares, weights: Mapping[ShareKey, float], now: int) -> None:
        self._weights = weights
        self._passed_by: dict[ShareKey, ShareKey] = {}
        self._blocked: set[ShareKey] = set()
        self._shares = shares
        self._now = now
        self._lines: defaultdict[ShareKey, deque[tuple[int, T]]] = defaultdict(deque)
        self._starts: dict[ShareKey, Iterator[object]] = {}
        self._served: ShareKey | None = None
        self._size = 0
        shares.limit_credit(weights, now)
        self._levels: dict[ShareKey, float] = {}

    def add(self, key: ShareKey, step: T) -> None:
        """Add the next step in the order of the policy."""
        self._lines[key].append((self._size, step))
        self._size += 1

    def finish_step(self, start_tasks: Callable[[T], Iterator[object]]) -> tuple[ShareKey, T]:
        """Serve the queues in turns until one step has no task left that can start; return it.

        Args:
            start_tasks: Returns an iterator that starts one task of a step, or its gang, with each
                item, and charges its service.
        """
        if not self._levels:
            self._levels = {key: self._compute_level(key) for key in self._weights}
        while True:
            key = self._served
            if key is None:
                key = self._served = self._choose()
            if not self._serve(key, start_tasks):
                continue
            line = self._lines[key]
            _, step = line.popleft()
            del self._starts[key]
            if not line:
                del self._lines[key]
                self._served = None
            return key, step

    def _choose(self) -> ShareKey:
        """Return the queue with the least service; of several, that with the first step."""
        if len(self._lines) == 1:
            return next(iter(self._lines))
        return min(self._lines, key=lambda key: (self._levels[key], self._lines[key][0][0]))

    def _compute_level(self, key: ShareKey) -> float:
        return self._shares.compute_level(key, self._weights[key], self._now)

    def _serve(self, key: ShareKey, start_tasks: Callable[[T], Iterator[object]]) -> bool:
        """Give a queue its turn, and return whether its first step has no task left to start."""
        starts = self._starts.get(key)
        position, step = self._lines[key][0]
        if starts is None:
            starts = self._starts[key] = start_tasks(step)
        for number, _ in enumerate(starts, start=1):
            self._levels[key] = self._compute_level(key)
            self._served = None
            if number == 1:
                self._record_passed(key, position)
            if number >= MIN_STARTS_PER_TURN and self._choose() != key:
                return False
        return True

    def handle_finished(self, key: ShareKey, step: T, is_waiting: Callable[[T], bool]) -> None:
        """Record whether a step that has had its turns still has tasks that wait."""
        if key not in self._blocked and is_waiting(step):
            self._blocked.add(key)

    def list_held_back(self) -> list[ShareKey]:
        """Return the queues with tasks left that were passed by others for their service."""
        return [key for key in self._passed_by if key in self._blocked]

    def describe(self, key: ShareKey) -> dict[str, object]:
        """Return the log fields on a queue that was held back."""
        other = self._passed_by[key]
        return {
            "queue": key.queue,
            "lasting": key.lasting,
            "weight": self._weights[key],
            "served": round(self._levels[key] * self._weights[key]),
            "passed_by": other.queue,
            "passed_by_weight": self._weights[other],
            "passed_by_served": round(self._levels[other] * self._weights[other]),
        }

    def _record_passed(self, key: ShareKey, position: int) -> None:
        for other, line in self._lines.items():
            if other != key and line[0][0] < position:
                self._passed_by[other] = key


def compute_service(step: StepRun, durations: DurationEstimates) -> float:
    """Return the service of one start of a task in core-ms; best effort counts by its needs."""
    duration_ms = LASTING_SERVICE_MS if step.spec.lasting else durations.expect(step)
    return max(MIN_SERVICE_CPU, step.spec.needs.cpu) / 1_000 * duration_ms


class WaitingStep(NamedTuple):
    """A step with tasks that may start, and its key in the order of the policy.

    A tuple, since there may be thousands in each round.
    """

    key: OrderKey
    step: StepRun

    @property
    def group(self) -> tuple[object, ...]:
        """What the steps have in common among which shares decide."""
        return self.step.contention_group, self.key[:CLASS_FIELDS]


StepsByGroup = dict[object, dict[ShareKey, list[WaitingStep]]]
"""Candidates of the groups with several queues, by queue."""


class FairShares:
    """Arranges the waiting steps of a cell so that queues of one priority share the capacity."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._reported_at: dict[ShareKey, int] = {}

    def arrange(
        self, candidates: list[WaitingStep], now: int
    ) -> list[tuple[StepRun, Contest[StepRun] | None]]:
        """Return the steps in the order of the policy, and the contest in which each takes part.

        A contest has as many places in the order as steps; it decides itself which step takes the
        next one.
        """
        contested = _find_contested(candidates)
        if contested:
            candidates = self._advance_starved(candidates, contested, now)
        candidates.sort(key=itemgetter(0))
        if not contested:
            return [(step, None) for _, step in candidates]
        steps_by_group: defaultdict[object, list[StepRun]] = defaultdict(list)
        for candidate in candidates:
            if candidate.step.contention_group in contested:
                steps_by_group[candidate.group].append(candidate.step)
        contests: dict[object, Contest[StepRun]] = {}
        for group, steps in steps_by_group.items():
            weights = _find_weights(steps)
            if len(weights) > 1:
                contests[group] = self._make_contest(weights, steps, now)
        return [(candidate.step, contests.get(candidate.group)) for candidate in candidates]

    def _make_contest(
        self, weights: dict[ShareKey, float], steps: list[StepRun], now: int
    ) -> Contest[StepRun]:
        contest: Contest[StepRun] = Contest(self._state.shares, weights, now)
        for step in steps:
            contest.add(step.share_key, step)
        return contest

    def _advance_starved(
        self, candidates: list[WaitingStep], contested: StepsByGroup, now: int
    ) -> list[WaitingStep]:
        """Let the first step of each starved queue compete with the least late steps of its group.

        Otherwise a queue that floods with new jobs would delay the late jobs of another without
        bound. One step at a time, as late jobs have little or no value.
        """
        advanced: dict[StepRun, OrderKey] = {}
        for queues in contested.values():
            first = {key: min(own, key=lambda item: item.key) for key, own in queues.items()}
            least_late = min(candidate.key[:CLASS_FIELDS] for candidate in first.values())
            for key, candidate in first.items():
                is_later = candidate.key[:CLASS_FIELDS] > least_late
                if is_later and self._is_starved(key, queues[key], now):
                    advanced[candidate.step] = least_late + candidate.key[CLASS_FIELDS:]
        if not advanced:
            return candidates
        return [
            candidate._replace(key=advanced.get(candidate.step, candidate.key))
            for candidate in candidates
        ]

    def _is_starved(self, key: ShareKey, candidates: list[WaitingStep], now: int) -> bool:
        waiting_since = min(candidate.step.ready_at for candidate in candidates)
        started_at = self._state.shares.get_started_at(key)
        return now - max(waiting_since, started_at) > MAX_QUEUE_WAIT_MS

    def report(self, contest: Contest[StepRun], now: int) -> None:
        """Log and count the queues that were held back in a contest for what they had received."""
        for key in contest.list_held_back():
            if now - self._reported_at.get(key, -REPORT_INTERVAL_MS) < REPORT_INTERVAL_MS:
                continue
            self._reported_at[key] = now
            self._state.log_decision("queue.over_share", **contest.describe(key))


def _find_contested(candidates: list[WaitingStep]) -> StepsByGroup:
    """Return the candidates of each group in which several queues wait."""
    queues_by_group: defaultdict[object, set[ShareKey]] = defaultdict(set)
    for _, step in candidates:
        queues_by_group[step.contention_group].add(step.share_key)
    contested: StepsByGroup = {
        group: {} for group, keys in queues_by_group.items() if len(keys) > 1
    }
    if contested:
        for candidate in candidates:
            queues = contested.get(candidate.step.contention_group)
            if queues is not None:
                queues.setdefault(candidate.step.share_key, []).append(candidate)
    return contested


def _find_weights(steps: list[StepRun]) -> dict[ShareKey, float]:
    """Return the weight of each queue, by the newest configuration that a job was accepted with."""
    policies: dict[ShareKey, QueuePolicy] = {}
    for step in steps:
        key = step.share_key
        policy = step.job.policy
        if key not in policies or policy.version > policies[key].version:
            policies[key] = policy
    return {key: policy.weight for key, policy in policies.items()}
