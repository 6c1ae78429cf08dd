"""Decoding of submitted jobs and encoding of answers in the platform's format."""

import json

import pytest

from quetzallock_core.exceptions import InvalidInputError
from quetzallock_daemon.cells.router import CallerAnswer
from quetzallock_platform.requests import decode_job, encode_answer

JOB = "5c0e7a21d94b36f8"


def decode(document: object) -> object:
    return decode_job(JOB, json.dumps(document).encode())


def test_job_is_decoded() -> None:
    spec = decode_job(
        JOB,
        b'{"spec":"(text)","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,'
        b'"dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],'
        b'"checkpointing":true,"longRunning":true,"targetMs":18,"mayMiss":0}],"repetitions":3,'
        b'"firstRunMs":1700000000000,"intervalMs":2000}',
    )
    first, second = spec.steps
    assert (first.count, first.needs.cpu, first.needs.memory_mb, first.data_rack) == (
        4,
        500,
        256,
        "r1-3",
    )
    assert first.max_unavailable is None
    assert second.after == (0,)
    assert second.saves and second.lasting
    assert (second.target_ms, second.max_unavailable) == (18, 0)
    assert (spec.repetitions, spec.first_run_ms, spec.interval_ms) == (3, 1_700_000_000_000, 2_000)


@pytest.mark.parametrize(
    ("document", "place"),
    [
        ({"spec": "x"}, "steps"),
        ({"spec": "x", "steps": []}, "steps"),
        ({"spec": 5, "steps": [{"count": 1}]}, "spec"),
        ({"spec": "y" * 4_001, "steps": [{"count": 1}]}, "spec"),
        ({"steps": [{"count": 0}]}, "steps[0].count"),
        ({"steps": [{"count": 1, "cpu": -1}]}, "steps[0].cpu"),
        ({"steps": [{"count": 1, "cpu": 1.5}]}, "steps[0].cpu"),
        ({"steps": [{"count": 1, "gang": "yes"}]}, "steps[0].gang"),
        ({"steps": [{"count": 1, "after": [0]}]}, "steps[0].after"),
        ({"steps": [{"count": 1}, {"count": 1, "after": [True]}]}, "steps[1].after"),
        ({"steps": [5]}, "steps[0]"),
        ([], "body"),
    ],
)
def test_findings_name_the_faulty_field(document: object, place: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        decode(document)
    assert place in [finding.place for finding in caught.value.findings]


def test_body_that_is_not_json_is_rejected() -> None:
    with pytest.raises(InvalidInputError, match="not JSON"):
        decode_job(JOB, b"{")


def test_answers_use_the_platforms_names_and_omit_empty_fields() -> None:
    assert json.loads(encode_answer(CallerAnswer(200, state="running"))) == {"state": "running"}
    assert json.loads(encode_answer(CallerAnswer(200, pending=0))) == {"pending": 0}
    assert json.loads(encode_answer(CallerAnswer(404, code="no_such_queue"))) == {
        "error": "no_such_queue"
    }


@pytest.mark.parametrize("number", [2**53, 2**64, 1e300, 10**400])
@pytest.mark.parametrize(
    "field", ["count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "targetMs", "mayMiss"]
)
def test_number_too_large_in_a_step_is_reported(field: str, number: float) -> None:
    """One such job stopped the journal of its cell, and with it all other jobs."""
    with pytest.raises(InvalidInputError) as caught:
        decode({"steps": [{"count": 1, field: number}]})
    assert [finding.place for finding in caught.value.findings] == [f"steps[0].{field}"]


@pytest.mark.parametrize("field", ["repetitions", "firstRunMs", "intervalMs"])
def test_number_too_large_in_a_schedule_is_reported(field: str) -> None:
    with pytest.raises(InvalidInputError, match=field):
        decode({"steps": [{"count": 1}], field: 1e300})
