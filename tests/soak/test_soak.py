"""One short seed with real processes, and tests that the checks detect each kind of violation."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from .callers import CallerJob
from .checks import list_findings

ID = "0000000000000001"
TASK = f"{ID}.0.0.0"


@pytest.mark.process
@pytest.mark.xdist_group("soak")
def test_short_seed_breaks_no_promise(tmp_path: Path) -> None:
    play_seed(tmp_path, "--seed=16", "--seconds=8")


@pytest.mark.process
@pytest.mark.xdist_group("soak")
def test_planned_work_on_a_full_pool_breaks_no_promise(tmp_path: Path) -> None:
    play_seed(tmp_path, "--seed=1", "--full_pool=True")


@pytest.mark.process
@pytest.mark.xdist_group("soak")
def test_false_entries_of_silent_workers_break_no_promise(tmp_path: Path) -> None:
    """Guards against runs that are taken for over without a word of their workers."""
    play_seed(tmp_path, "--seed=1", "--false_entries=True", "--seconds=8")


@pytest.mark.process
@pytest.mark.xdist_group("soak")
def test_workers_that_return_and_are_cut_off_break_no_promise(tmp_path: Path) -> None:
    """Guards against two runs at once where a next boot holds a longer lease than is known."""
    play_seed(tmp_path, "--seed=1", "--reborn=True", "--seconds=12")


def play_seed(folder: Path, *options: str) -> None:
    """Play a course, which must have no findings."""
    command = [sys.executable, "-m", "tests.soak.play", *options]
    ended = subprocess.run(
        [*command, f"--keep={folder}"], capture_output=True, text=True, timeout=120, check=False
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr


def make_record(**fields: Any) -> dict[str, Any]:
    return {"broken": [], "starts": [], "ends": [], "live": [], **fields}


def make_job(kind: str = "short", **fields: Any) -> CallerJob:
    return CallerJob(ID, kind, (1,), submit_statuses=[200], accepted_at=100.0, **fields)


def test_completed_job_is_no_finding() -> None:
    record = make_record(starts=[(110, TASK, 1, "w0")], ends=[(150, TASK, 1, "done")])
    assert list_findings([make_job(state="completed")], record, 0) == []


@pytest.mark.parametrize(
    ("job", "record"),
    [
        (make_job(state="queued"), {}),
        (make_job(state="completed"), {}),
        (make_job(state="completed"), {"broken": ["1: also runs"]}),
        (CallerJob(ID, "short", (1,), submit_statuses=[503]), {"starts": [(110, TASK, 1, "w0")]}),
        (CallerJob("f" * 16, "short", (1,)), {"starts": [(110, TASK, 1, "w0")]}),
        (make_job("lasting", state="running"), {}),
        (make_job("cancelled", cancel_sent=True, state="cancelled"), {"live": [TASK]}),
        (
            make_job(
                "cancelled", cancel_sent=True, cancel_acknowledged_at=200.0, state="cancelled"
            ),
            {"starts": [(9_000, TASK, 1, "w0")]},
        ),
        (make_job("cancelled", cancel_sent=True, state="running"), {}),
    ],
)
def test_broken_promise_is_found(job: CallerJob, record: dict[str, Any]) -> None:
    assert len(list_findings([job], make_record(**record), 0)) >= 1


def test_second_step_before_the_first_is_done_is_found() -> None:
    job = CallerJob(
        ID, "chain", (1, 1), submit_statuses=[200], accepted_at=100.0, state="completed"
    )
    second = f"{ID}.0.1.0"
    starts = [(110, TASK, 1, "w0"), (140, second, 2, "w0")]
    ends = [(150, TASK, 1, "done"), (190, second, 2, "done")]
    findings = list_findings([job], make_record(starts=starts, ends=ends), 0)
    assert findings == [f"{ID}: its second step started before the first was done"]
