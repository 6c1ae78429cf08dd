"""Learns how much each image of best-effort tasks interferes with each image of serving tasks.

The model: the tail latency of a serving task is its baseline tail, without interference, times the
exponential of a pressure. The pressure is the sum, over the best-effort tasks on the same worker,
of a coefficient of the two images times the share of the worker's processor that the best-effort
task uses.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import Final

from .jobs import Run, StepRun
from .regression import TermEstimates
from .workers import Worker

PRIOR_COEFFICIENT: Final = 2.0
"""Coefficient of a pair of images that have not run on the same worker yet."""

MAX_PRESSURE: Final = 15.0
"""Upper bound for coefficients and for the exponents computed from them."""

_PRIOR_VARIANCE: Final = 9.0
_RESTORED_VARIANCE: Final = 2.0
_NOISE_VARIANCE: Final = 0.15
_DRIFT_VARIANCE: Final = 0.002
_CAUTION_DEVIATIONS: Final = 0.5
"""Standard deviations that are added to a coefficient before predictions use it."""

_PEAK_RISE_WEIGHT: Final = 0.3
"""Weight of a baseline tail above the learned peak tail in its moving average."""

_PEAK_FALL_WEIGHT: Final = 0.01
"""Weight of a baseline tail below the learned peak tail in its moving average."""

_DEFAULT_PEAK_SHARE: Final = 0.6
"""Assumed peak tail of an unseen serving image, as a share of its target."""

_DEFAULT_BASELINE_SHARE: Final = 0.65
"""Assumed baseline tail where none is measured now, as a share of the peak tail."""

_HARMLESS_PRESSURE: Final = 0.05
"""Predicted pressure that a best-effort task may add whatever the tail of the serving task is."""

_BASELINE_PRESSURE: Final = 0.1
"""Predicted pressure below which the tail of a serving run counts as its baseline tail."""

_RECENT_METRIC_MS: Final = 1_500
"""Age up to which a reported tail counts towards the baseline."""

_MIN_SHARE: Final = 0.01
"""Share of a worker's processor up to which a best-effort image is left out of the learning."""

_FULL_PERCENT: Final = 100
"""Percentage that a run reports when its startup is over and it works at full speed."""


@dataclass(frozen=True, slots=True)
class ColocationProfile:
    """The serving and best-effort tasks on one worker, for predictions.

    Attributes:
        shares: Shares of the processor that the best-effort images may use.
        pressures: By serving image, the pressure on it and its peak tail as a share of its target.
    """

    shares: dict[str, float]
    pressures: dict[str, tuple[float, float]]


class Interference:
    """Learned coefficients by pair of images, and peak tails in ms by serving image."""

    def __init__(self) -> None:
        self._estimates: dict[str, TermEstimates] = {}
        self._peak_tails: dict[str, float] = {}
        self._upper_coefficients: dict[str, dict[str, float]] = {}

    def list_coefficients(self) -> tuple[tuple[str, str, float], ...]:
        """Return all learned coefficients: serving image, best-effort image, value."""
        return tuple(
            (serving, best_effort, round(value, 2))
            for serving, estimates in self._estimates.items()
            for best_effort, value in estimates.list_means().items()
        )

    def list_peak_tails(self) -> tuple[tuple[str, float], ...]:
        """Return all learned peak tails in ms by serving image."""
        return tuple((image, round(value, 2)) for image, value in self._peak_tails.items())

    def restore(
        self,
        coefficients: Iterable[tuple[str, str, float]],
        peak_tails: Iterable[tuple[str, float]],
    ) -> None:
        """Load the estimates of an earlier owner."""
        for serving, best_effort, value in coefficients:
            self._get_estimates(serving).set(best_effort, value, _RESTORED_VARIANCE)
        self._upper_coefficients.clear()
        self._peak_tails.update(peak_tails)

    def _get_estimates(self, serving: str) -> TermEstimates:
        estimates = self._estimates.get(serving)
        if estimates is None:
            estimates = TermEstimates(
                PRIOR_COEFFICIENT, _PRIOR_VARIANCE, _NOISE_VARIANCE, _DRIFT_VARIANCE, minimum=0.0
            )
            self._estimates[serving] = estimates
        return estimates

    def get_coefficient(self, serving: str, best_effort: str) -> float:
        """Return the expected coefficient of a pair of images."""
        return min(max(self._get_estimates(serving).mean(best_effort), 0.0), MAX_PRESSURE)

    def get_upper_coefficient(self, serving: str, best_effort: str) -> float:
        """Return a cautious, high estimate of the coefficient of a pair of images."""
        known = self._upper_coefficients.setdefault(serving, {})
        coefficient = known.get(best_effort)
        if coefficient is None:
            coefficient = known[best_effort] = self._compute_upper(serving, best_effort)
        return coefficient

    def _compute_upper(self, serving: str, best_effort: str) -> float:
        estimates = self._get_estimates(serving)
        margin = _CAUTION_DEVIATIONS * sqrt(max(estimates.variance(best_effort), 0.0))
        return min(max(estimates.mean(best_effort) + margin, 0.0), MAX_PRESSURE)

    def get_peak_tail(self, run: Run) -> float:
        """Return the tail in ms of a serving run at peak load without interference."""
        return self._peak_tails.get(
            run.task.spec.image, _DEFAULT_PEAK_SHARE * run.task.spec.target_ms
        )

    def observe(self, worker: Worker, now: int) -> None:
        """Update the estimates with the metrics that a worker has just reported."""
        shares = worker.best_effort_history.average(now)
        active_shares = {image: share for image, share in shares.items() if share > _MIN_SHARE}
        serving = [run for run in list_serving_runs(worker) if run.percent == _FULL_PERCENT]
        for run in serving:
            image = run.task.spec.image
            run.pressure = sum(
                self.get_coefficient(image, name) * s for name, s in active_shares.items()
            )
            run.is_best_effort_colocated = bool(active_shares)
            run.reported_at = now
        observed: defaultdict[str, list[float]] = defaultdict(list)
        baselines: dict[StepRun, float | None] = {}
        for run in serving:
            if run.metric <= 0:
                continue
            step = run.task.step
            if step not in baselines:
                baselines[step] = find_baseline_tail(run, now)
            baseline = self._update_peak_tail(run, baselines[step])
            observed[run.task.spec.image].append(log(run.metric / baseline))
        if active_shares:
            for image, pressures in observed.items():
                mean = sum(pressures) / len(pressures)
                self._get_estimates(image).observe(active_shares, mean, len(pressures))
                self._upper_coefficients.pop(image, None)

    def _update_peak_tail(self, run: Run, baseline: float | None) -> float:
        """Learn the peak tail of a serving run's image, and return the run's baseline tail in ms.

        Without a measured `baseline` it is derived from the peak tail.
        """
        image = run.task.spec.image
        peak = self.get_peak_tail(run)
        if baseline is None:
            return _DEFAULT_BASELINE_SHARE * peak
        weight = _PEAK_RISE_WEIGHT if baseline > peak else _PEAK_FALL_WEIGHT
        self._peak_tails[image] = peak + weight * (baseline - peak)
        return baseline

    def _compute_pressure(self, serving: str, shares: dict[str, float]) -> float:
        """Return a cautious, high estimate of the pressure on a serving image."""
        return sum(
            self.get_upper_coefficient(serving, name) * share for name, share in shares.items()
        )

    def make_profile(self, worker: Worker) -> "ColocationProfile":
        """Return the profile that predicts the effect of one more best-effort task on `worker`."""
        shares = worker.best_effort_history.newest()
        pressures: dict[str, tuple[float, float]] = {}
        for run in list_serving_runs(worker):
            image = run.task.spec.image
            if image not in pressures:
                pressure = self._compute_pressure(image, shares)
                pressures[image] = (pressure, self.get_peak_tail(run) / run.task.spec.target_ms)
        return ColocationProfile(shares, pressures)

    def predict_tail_share(self, profile: "ColocationProfile", image: str, share: float) -> float:
        """Return the worst predicted tail on a worker, as a share of its target.

        Args:
            profile: The serving and best-effort tasks on the worker.
            image: Image of the best-effort task that would join.
            share: Share of the worker's processor that it would use.
        """
        worst = 0.0
        for serving, (pressure, peak_share) in profile.pressures.items():
            added = self.get_upper_coefficient(serving, image) * share
            if added > _HARMLESS_PRESSURE:
                worst = max(worst, peak_share * exp(min(pressure + added, MAX_PRESSURE)))
        return worst

    def predict_pressure(self, profile: "ColocationProfile", image: str) -> float:
        """Return the pressure of the best-effort tasks on a worker on a serving image."""
        return self._compute_pressure(image, profile.shares)

    def compute_contribution(
        self, worker: Worker, over_target: Iterable[Run], best_effort: Run
    ) -> float:
        """Return how much a best-effort run adds to the pressure on the runs `over_target`."""
        share = best_effort.task.spec.needs.cpu * best_effort.pace / 100 / _get_cpu_capacity(worker)
        image = best_effort.task.spec.image
        return sum(self.get_coefficient(run.task.spec.image, image) * share for run in over_target)


def find_baseline_tail(run: Run, now: int) -> float | None:
    """Return the current tail in ms of the tasks of this job that run without interference.

    The load of a serving job changes for all of its tasks alike, so the tasks without colocated
    best-effort tasks show the baseline of the others. The lower quartile is used, because a pair
    whose coefficient is estimated too low would otherwise raise the baseline that it is measured
    against.
    """
    target_ms = run.task.spec.target_ms
    since = now - _RECENT_METRIC_MS
    metrics = [
        other.metric
        for task in run.task.step.tasks
        for other in task.runs.values()
        if other.pressure < _BASELINE_PRESSURE
        and other.metric > 0
        and other.reported_at
        and other.reported_at > since
        and not (other.is_best_effort_colocated and other.metric > target_ms)
    ]
    metrics.sort()
    return metrics[len(metrics) // 4] if metrics else None


def _get_cpu_capacity(worker: Worker) -> int:
    return max(1, worker.entry.capacity.cpu)


def list_serving_runs(worker: Worker) -> list[Run]:
    """Return the serving runs of a worker."""
    if not worker.serving_count:
        return []
    return [run for run in worker.runs.values() if run.task.spec.target_ms]
