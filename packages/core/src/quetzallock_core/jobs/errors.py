"""Errors of jobs, as submitters see them."""

from ..exceptions import Finding, QuetzallockError


class JobConflictError(QuetzallockError):
    """Another job with the same id has been accepted."""

    code = "job_conflict"

    def __init__(self, reason: str) -> None:
        super().__init__("the id is taken", findings=[Finding("body: job", reason)])


class UnknownJobError(QuetzallockError):
    """No job of that id is known."""

    code = "unknown_job"

    def __init__(self, job: str) -> None:
        super().__init__("no such job", findings=[Finding("path", f"{job!r} is not a job")])
