"""Learned coefficients, the history of best-effort tasks, and the end of a lease."""

from random import Random

from quetzallock_core.cells.models import Resources, WorkerEntry
from quetzallock_core.cells.regression import TermEstimates
from quetzallock_core.cells.workers import BestEffortHistory, Worker


def make_estimates() -> TermEstimates:
    return TermEstimates(2.0, 9.0, 0.05, 0.001, 0.0)


def test_coefficients_of_terms_observed_together_are_separated() -> None:
    estimates = make_estimates()
    rng = Random(3)
    true_coefficients = {"a": 8.0, "b": 0.0, "c": 3.0}
    for _ in range(300):
        terms = {name: rng.uniform(0.02, 0.3) for name in rng.sample(sorted(true_coefficients), 2)}
        value = sum(true_coefficients[name] * x for name, x in terms.items()) + rng.gauss(0, 0.2)
        estimates.observe(terms, value)
    assert all(abs(estimates.mean(name) - value) < 1.0 for name, value in true_coefficients.items())
    assert estimates.variance("a") < 1.0


def test_observation_updates_its_own_terms_only() -> None:
    """Guards against learning whose work grows with all terms that were ever observed."""
    estimates = make_estimates()
    for number in range(50):
        estimates.observe({f"a{number}": 0.2, f"b{number}": 0.1, "c": 0.1}, 1.0)
    estimates.observe({"c": 0.2}, 1.0)
    kept = sum(len(row) for row in estimates._covariance.values())
    assert kept == 101 + 2 * 50


def test_covariance_stays_valid_while_terms_meet_in_turns() -> None:
    """Guards against a negative variance after dropped covariances."""
    estimates = make_estimates()
    rng = Random(7)
    names = [f"t{number}" for number in range(12)]
    for _ in range(3_000):
        terms = {name: rng.uniform(0.02, 0.5) for name in rng.sample(names, rng.randrange(1, 5))}
        estimates.observe(terms, rng.gauss(1, 0.3), rng.randrange(1, 4))
        assert all(0 < estimates.variance(name) < 10 for name in names)


def test_unobserved_term_has_the_prior() -> None:
    estimates = make_estimates()
    assert estimates.mean("x") == 2.0
    assert estimates.variance("x") == 9.0


def test_coefficient_does_not_fall_below_the_minimum() -> None:
    estimates = make_estimates()
    for _ in range(50):
        estimates.observe({"a": 0.2}, -1.0)
    assert estimates.mean("a") == 0.0


def test_mean_of_observations_counts_as_much_as_each_of_them() -> None:
    """Guards against learning from a worker's tasks at another rate than from one task each."""
    single, combined = make_estimates(), make_estimates()
    rng = Random(5)
    for _ in range(50):
        terms = {name: rng.uniform(0.02, 0.3) for name in rng.sample("abcd", 2)}
        values = [1.0 + rng.gauss(0, 0.2) for _ in range(3)]
        for value in values:
            single.observe(terms, value)
        combined.observe(terms, sum(values) / 3, 3)
    for name in "abcd":
        assert abs(single.mean(name) - combined.mean(name)) < 0.05
        assert abs(single.variance(name) - combined.variance(name)) < 0.01


def test_history_averages_over_the_metric_window() -> None:
    history = BestEffortHistory()
    history.record(1_000, {"a": 0.4})
    history.record(1_250, {"a": 0.4, "b": 0.2})
    average = history.average(1_500)
    assert abs(average["a"] - 0.4) < 1e-9
    assert abs(average["b"] - 0.1) < 1e-9
    history.record(2_500, {})
    assert history.average(3_000) == {}
    assert history.newest() == {}


def test_lease_end_allows_for_a_slow_clock() -> None:
    entry = WorkerEntry("w", 1, "s", "w:1", "dc", False, Resources(1, 1), (), "")
    worker = Worker(entry)
    worker.record_contact(5_000, 100_000, 100_000)
    assert worker.extend_lease(6_000, 100_000) == 11_000
    assert worker.compute_lapse_at() >= 100_000 + 6_000 / 0.98


def test_term_that_is_set_anew_leaves_no_covariances_behind() -> None:
    """A covariance on one side only would stop the learning with a KeyError."""
    estimates = TermEstimates(2.0, 9.0, 0.15, 0.002, minimum=0.0)
    estimates.observe({"a": 1.0, "b": 1.0}, 1.0)
    estimates.set("a", 1.0, 2.0)
    estimates.observe({"b": 1.0}, 1.0)
    assert estimates.mean("a") == 1.0
    assert estimates.variance("a") == 2.0
