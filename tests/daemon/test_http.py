"""The HTTP interface of a running daemon.

Invalid input, outcomes, truncated answers, idempotency keys and an outage of the log.
"""

import http.client
import json
import time
from typing import Any

import pytest

from quetzallock_standins.processes import LocalDeployment, call_json

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("process")]


@pytest.fixture
def connection(local: LocalDeployment) -> http.client.HTTPConnection:
    """A connection to the first daemon."""
    address = next(iter(local.hosts.values())).http.removeprefix("http://")
    return http.client.HTTPConnection(address, timeout=10)


def send_request(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None = None,
    **headers: str,
) -> tuple[int, Any, http.client.HTTPResponse]:
    """Send a request on an open connection; return status, decoded body and response."""
    raw_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, body, raw_headers)
    response = connection.getresponse()
    return response.status, json.loads(response.read() or b"null"), response


BAD_REQUESTS = [
    ("POST", "/v1/jobs", b"{", {}, 400, "invalid_input", "body"),
    ("POST", "/v1/jobs", b"[1]", {}, 400, "invalid_input", "body"),
    ("POST", "/v1/jobs", b'{"team": "t"}', {}, 400, "invalid_input", "body: cpu_milli"),
    ("POST", "/v1/jobs", b"x" * 5_000, {}, 413, "body_too_large", "body"),
    ("GET", "/v1/call/nothing/here", None, {}, 404, "unknown_service", "path"),
    ("GET", "/v1/call/desk/x", None, {"Deadline_Ms": "soon"}, 400, "invalid_input", "Deadline-Ms"),
    ("GET", "/v1/call/desk/x", None, {"Deadline_Ms": "0"}, 400, "invalid_input", "Deadline-Ms"),
    (
        "GET",
        "/v1/call/desk/x",
        None,
        {"Deadline_Ms": "999999"},
        400,
        "invalid_input",
        "Deadline-Ms",
    ),
    ("PUT", "/v1/presets/p", b'name = "q"', {}, 400, "invalid_input", "body: name"),
    ("PUT", "/v1/presets/p", b"name = ", {}, 400, "invalid_input", "body"),
    ("PUT", "/v1/presets/p", b"\xff", {}, 400, "invalid_input", "body"),
    ("POST", "/v1/presets/none/use", b'{"author": "a"}', {}, 404, "unknown_preset", "path"),
    ("GET", "/v1/jobs/none", None, {}, 404, "unknown_job", "path"),
    ("GET", "/nowhere", None, {}, 404, "unknown_path", "path"),
    ("PATCH", "/v1/report", None, {}, 405, "method_not_allowed", "method"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code", "place"), BAD_REQUESTS
)
def test_bad_input_has_code_and_place(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    status: int,
    code: str,
    place: str,
) -> None:
    actual, answer, _ = send_request(connection, method, path, body, **headers)
    assert (actual, answer["code"]) == (status, code)
    assert any(finding["place"] == place for finding in answer["findings"])
    again, _, _ = send_request(connection, "GET", "/healthz")
    assert again == 200


def test_too_large_job_is_refused_at_submission(connection: http.client.HTTPConnection) -> None:
    body = json.dumps({"team": "t", "cpu_milli": 10**6, "memory_mb": 1, "run_ms": 1}).encode()
    status, answer, _ = send_request(connection, "POST", "/v1/jobs", body)
    assert status == 400
    assert "no worker is large enough" in answer["findings"][0]["reason"]


def test_answer_belongs_to_its_request(connection: http.client.HTTPConnection) -> None:
    for number in range(20):
        status, answer, response = send_request(
            connection, "GET", "/v1/call/desk/stock", X_Request_Id=f"own-{number}"
        )
        assert status == 200
        assert answer["request"] == f"own-{number}"
        assert response.headers["Quetzallock-Outcome"] == "whole"


def test_truncated_answer_never_passes_as_whole(
    local: LocalDeployment, connection: http.client.HTTPConnection
) -> None:
    names = [str(row["worker"]) for row in local.deployment.list_rows(0)]
    for name in names:
        call_json("PUT", f"{local.workers_url}/faults/{name}", {"truncate": True})
    try:
        status, answer, _ = send_request(connection, "POST", "/v1/call/desk/order", b"{}")
        assert (status, answer["outcome"]) == (504, "unknown")
        status, answer, _ = send_request(connection, "GET", "/v1/call/desk/stock")
        assert (status, answer["outcome"]) == (504, "unknown")
    finally:
        for name in names:
            call_json("PUT", f"{local.workers_url}/faults/{name}", {"truncate": False})
    deadline = time.monotonic() + 20
    while send_request(connection, "GET", "/v1/call/desk/stock")[0] != 200:
        assert time.monotonic() < deadline
        time.sleep(0.2)


def test_repeated_key_gets_the_first_answer(
    local: LocalDeployment, connection: http.client.HTTPConnection
) -> None:
    first = send_request(
        connection, "POST", "/v1/call/desk/order", b"{}", Idempotency_Key="k-1", X_Request_Id="r-1"
    )
    other = list(local.hosts.values())[1].http.removeprefix("http://")
    second = send_request(
        http.client.HTTPConnection(other, timeout=10),
        "POST",
        "/v1/call/desk/order",
        b"{}",
        Idempotency_Key="k-1",
        X_Request_Id="r-2",
    )
    assert first[0] == second[0] == 200
    assert second[1] == first[1]
    _, ground_truth = call_json("GET", f"{local.workers_url}/truth")
    executed = [identity for identity, _ in ground_truth["executions"]]
    assert executed.count("r-1") == 1
    assert "r-2" not in executed


def test_log_down_refuses_jobs_at_once(
    local: LocalDeployment, connection: http.client.HTTPConnection
) -> None:
    call_json("PUT", f"{local.log_url}/faults", {"down": True})
    try:
        body = json.dumps({"team": "t", "cpu_milli": 1, "memory_mb": 1, "run_ms": 1}).encode()
        outcomes = set()
        for _ in range(4):
            status, answer, response = send_request(connection, "POST", "/v1/jobs", body)
            outcomes.add((status, answer["outcome"]))
            assert response.headers["Retry-After"]
        assert (503, "not_run") in outcomes
    finally:
        call_json("PUT", f"{local.log_url}/faults", {"down": False})
