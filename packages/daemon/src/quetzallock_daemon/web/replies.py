"""Writes JSON answers; errors have a code, cause, findings and the time to retry after."""

import json
import math
from collections.abc import Sequence

from twisted.web.http import Request

from quetzallock_core.const import SECOND_MS
from quetzallock_core.exceptions import Finding, InvalidInputError, QuetzallockError

from .const import OUTCOME_HEADER
from .errors import STATUS_BY_CODE


def write_json(request: Request, status: int, body: object) -> None:
    """Write `body` as JSON and finish the answer."""
    raw = json.dumps(body).encode() + b"\n"
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(raw)))
    if request.method != b"HEAD":
        request.write(raw)
    request.finish()


def write_failure(request: Request, error: QuetzallockError) -> None:
    """Write an error of the input; the request was not run."""
    status = STATUS_BY_CODE.get(error.code, 400)
    cause = error.cause
    if isinstance(error, InvalidInputError):
        cause = "the input is not valid"
    write_error(request, status, error.code, cause, error.findings)


def write_error(
    request: Request,
    status: int,
    code: str,
    cause: str,
    findings: Sequence[Finding] = (),
    retry_after_ms: int = 0,
    outcome: str = "not_run",
) -> None:
    """Write an error; `outcome` is `not_run` only if the request was certainly not run."""
    request.setHeader(OUTCOME_HEADER, outcome)
    body: dict[str, object] = {"code": code, "outcome": outcome, "cause": cause}
    if findings:
        body["findings"] = [
            {"place": finding.place, "reason": finding.reason} for finding in findings
        ]
    if retry_after_ms:
        request.setHeader("Retry-After", str(math.ceil(retry_after_ms / SECOND_MS)))
        body["retry_after_ms"] = retry_after_ms
    write_json(request, status, body)
