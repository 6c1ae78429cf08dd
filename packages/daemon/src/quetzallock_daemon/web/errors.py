"""Errors of the HTTP interface, and the HTTP status of each error code."""

from typing import Final

from quetzallock_core.exceptions import Finding, QuetzallockError

STATUS_BY_CODE: Final = {
    "unknown_path": 404,
    "unknown_service": 404,
    "unknown_job": 404,
    "unknown_preset": 404,
    "method_not_allowed": 405,
    "job_conflict": 409,
    "lost_race": 409,
    "body_too_large": 413,
}


class UnknownPathError(QuetzallockError):
    """No route has this path."""

    code = "unknown_path"

    def __init__(self, path: str) -> None:
        super().__init__("no such path", findings=[Finding("path", f"{path} does not exist")])


class MethodNotAllowedError(QuetzallockError):
    """The path supports other methods only."""

    code = "method_not_allowed"

    def __init__(self, method: str) -> None:
        finding = Finding("method", f"{method} is not supported for this path")
        super().__init__("method not allowed", findings=[finding])
