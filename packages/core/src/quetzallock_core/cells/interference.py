"""Learns how much each image of filling tasks disturbs each image of serving tasks.

The model: a serving task's tail is its calm tail times the exponential of the sum, over the
filling tasks beside it, of a coefficient of the two images times the share of the worker's
processor that the filling task uses.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import Final

from .jobs import Run
from .regression import TermEstimates
from .workers import Worker

PRIOR: Final = 2.0
"""Coefficient of a pair of images that have not met yet."""

MOST: Final = 15.0
_PRIOR_VARIANCE: Final = 9.0
_RESTORED_VARIANCE: Final = 2.0
_NOISE_VARIANCE: Final = 0.15
_DRIFT: Final = 0.002
_CAUTION: Final = 0.5
"""Standard deviations that are added to a coefficient before it is relied on."""

_RISE: Final = 0.3
_FALL: Final = 0.01
_BUSY_SHARE: Final = 0.6
"""Assumed tail of an unseen serving image at its busiest, as a share of its target."""

_USUAL_SHARE: Final = 0.65
"""Usual tail without neighbours as a share of that at the busiest."""

_HARMLESS: Final = 0.05
"""Predicted pressure that a filling task may add whatever the tail beside it is."""

_CALM_PRESSURE: Final = 0.1
"""Predicted pressure up to which a serving run shows its tail without neighbours."""

_RECENT_MS: Final = 1_500

_LEAST_SHARE: Final = 0.01
_AT_WORK: Final = 100


@dataclass(frozen=True, slots=True)
class Neighbourhood:
    """What serves and fills on one worker.

    Attributes:
        shares: Shares of the processor that filling images will use.
        pressures: By serving image, the pressure on it and its busy tail as a share of its
            target.
    """

    shares: dict[str, float]
    pressures: dict[str, tuple[float, float]]


class Interference:
    """Coefficients by pair of images, and tails at their busiest in ms by serving image."""

    def __init__(self) -> None:
        self._estimates: dict[str, TermEstimates] = {}
        self._busy: dict[str, float] = {}

    def list_coefficients(self) -> tuple[tuple[str, str, float], ...]:
        """Return all learned coefficients: serving image, filling image, value."""
        return tuple(
            (serving, filling, round(value, 2))
            for serving, estimates in self._estimates.items()
            for filling, value in estimates.list_means().items()
        )

    def list_peak_tails(self) -> tuple[tuple[str, float], ...]:
        """Return all learned busy tails in ms by serving image."""
        return tuple((image, round(value, 2)) for image, value in self._busy.items())

    def restore(
        self,
        coefficients: Iterable[tuple[str, str, float]],
        peak_tails: Iterable[tuple[str, float]],
    ) -> None:
        """Take over what an earlier owner has learned."""
        for serving, filling, value in coefficients:
            self._estimate(serving).set(filling, value, _RESTORED_VARIANCE)
        self._busy.update(peak_tails)

    def _estimate(self, serving: str) -> TermEstimates:
        estimates = self._estimates.get(serving)
        if estimates is None:
            estimates = TermEstimates(PRIOR, _PRIOR_VARIANCE, _NOISE_VARIANCE, _DRIFT, least=0.0)
            self._estimates[serving] = estimates
        return estimates

    def coefficient(self, serving: str, filling: str) -> float:
        """Return the coefficient of a pair of images, as it is expected."""
        return min(max(self._estimate(serving).mean(filling), 0.0), MOST)

    def cautious(self, serving: str, filling: str) -> float:
        """Return the coefficient of a pair of images, rather too high than too low."""
        estimates = self._estimate(serving)
        margin = _CAUTION * sqrt(max(estimates.variance(filling), 0.0))
        return min(max(estimates.mean(filling) + margin, 0.0), MOST)

    def peak_tail(self, run: Run) -> float:
        """Return the tail in ms that a serving run has at its busiest without neighbours."""
        return self._busy.get(run.task.spec.image, _BUSY_SHARE * run.task.spec.target_ms)

    def observe(self, worker: Worker, now: int) -> None:
        """Learn from the figures that a worker has just reported."""
        shares = worker.best_effort_history.average(now)
        pressing = {image: share for image, share in shares.items() if share > _LEAST_SHARE}
        serving = [run for run in list_serving(worker) if run.percent == _AT_WORK]
        for run in serving:
            image = run.task.spec.image
            run.pressure = sum(self.coefficient(image, name) * s for name, s in pressing.items())
            run.is_best_effort_colocated = bool(pressing)
            run.reported_at = now
        for run in serving:
            self._learn(run, pressing, now)

    def _learn(self, run: Run, pressing: dict[str, float], now: int) -> None:
        if run.metric <= 0:
            return
        image = run.task.spec.image
        busy = self.peak_tail(run)
        calm = find_calm_tail(run, now)
        if calm is None:
            calm = _USUAL_SHARE * busy
        else:
            self._busy[image] = busy + (_RISE if calm > busy else _FALL) * (calm - busy)
        if pressing:
            self._estimate(image).observe(pressing, log(run.metric / calm))

    def _press(self, serving: str, shares: dict[str, float]) -> float:
        """Return the pressure on a serving image, rather too high than too low."""
        return sum(self.cautious(serving, name) * share for name, share in shares.items())

    def survey(self, worker: Worker) -> "Neighbourhood":
        """Return what is needed to predict the effect of one more filling task on `worker`."""
        shares = worker.best_effort_history.newest()
        pressures: dict[str, tuple[float, float]] = {}
        for run in list_serving(worker):
            image = run.task.spec.image
            if image not in pressures:
                pressure = self._press(image, shares)
                pressures[image] = (pressure, self.peak_tail(run) / run.task.spec.target_ms)
        return Neighbourhood(shares, pressures)

    def predict_excess(self, near: "Neighbourhood", image: str, share: float) -> float:
        """Return the worst predicted tail on a worker, as a share of its target.

        Args:
            near: What serves and fills on the worker.
            image: Image of the filling task that would join.
            share: Share of the worker's processor that it would use.
        """
        worst = 0.0
        for serving, (pressure, calm) in near.pressures.items():
            added = self.cautious(serving, image) * share
            if added > _HARMLESS:
                worst = max(worst, calm * exp(min(pressure + added, MOST)))
        return worst

    def predict_beside(self, near: "Neighbourhood", image: str) -> float:
        """Return by how much the filling tasks on a worker would press a serving image."""
        return self._press(image, near.shares)

    def blame(self, worker: Worker, hot: Iterable[Run], filling: Run) -> float:
        """Return how much a filling run adds to the pressure on the serving runs `hot`."""
        share = filling.task.spec.needs.cpu * filling.pace / 100 / _capacity(worker)
        image = filling.task.spec.image
        return sum(self.coefficient(run.task.spec.image, image) * share for run in hot)


def find_calm_tail(run: Run, now: int) -> float | None:
    """Return the tail in ms that the job of `run` has now where nothing presses on it.

    The load of a serving job swings for all of its tasks alike, so those without filling
    neighbours tell what the others would show without theirs. The lower quartile counts: a
    pair that is wrongly thought harmless must not become the measure of itself.
    """
    figures = sorted(
        other.metric
        for task in run.task.step.tasks
        for other in task.runs.values()
        if other.reported_at
        and now - other.reported_at < _RECENT_MS
        and other.pressure < _CALM_PRESSURE
        and not (other.is_best_effort_colocated and other.metric > other.task.spec.target_ms)
        and other.metric > 0
    )
    return figures[len(figures) // 4] if figures else None


def _capacity(worker: Worker) -> int:
    return max(1, worker.entry.capacity.cpu)


def list_serving(worker: Worker) -> list[Run]:
    """Return the serving runs of a worker."""
    if not worker.serving_count:
        return []
    return [run for run in worker.runs.values() if run.task.spec.target_ms]
