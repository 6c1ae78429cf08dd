"""The owner's log tells the start and the end of each run, and what proved the end."""

from quetzallock_core.cells.run_ends import MAX_ROWS_PER_LINE, EndProof
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, TracedCluster, make_step, submit_plain


def list_rows(cluster: TracedCluster, event: str) -> list[tuple[object, ...]]:
    """Return all rows of an event."""
    return [row for inputs in cluster.list_inputs(event) for row in inputs["rows"]]  # type: ignore[attr-defined]


def test_each_start_and_end_has_a_row() -> None:
    cluster = TracedCluster(workers=16)
    cluster.run(500)
    count = MAX_ROWS_PER_LINE + 20
    submit_plain(cluster, "a", count=count)
    cluster.run(2_000)
    starts, ends = list_rows(cluster, "runs.started"), list_rows(cluster, "runs.ended")
    assert {row[:3] for row in starts} == {row[1:] for row in cluster.ground_truth.starts}
    assert {(*row, EndProof.LISTED, "done") for row in starts} == set(ends)
    assert len(starts) == len(ends) == count
    assert len(cluster.list_inputs("runs.started")) > 1


def test_row_of_an_end_has_its_proof() -> None:
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    cluster.workers["w0"].is_isolated = True
    cluster.run(8_000)
    assert [row[4:] for row in list_rows(cluster, "runs.ended")] == [(EndProof.LAPSED, "")]


def test_found_runs_have_rows_at_the_next_owner() -> None:
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    cluster.hand_over()
    cluster.run(500)
    assert list_rows(cluster, "runs.adopted") == list_rows(cluster, "runs.started")
