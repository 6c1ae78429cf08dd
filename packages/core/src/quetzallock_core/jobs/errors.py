"""Errors about jobs that are returned to callers."""

from ..exceptions import Finding, QuetzallockError


class JobConflictError(QuetzallockError):
    """A different job with the same id has been accepted."""

    code = "job_conflict"

    def __init__(self, reason: str) -> None:
        super().__init__("the job id is already in use", findings=[Finding("body: job", reason)])


class UnknownJobError(QuetzallockError):
    """No job with this id exists."""

    code = "unknown_job"

    def __init__(self, job: str) -> None:
        super().__init__("no such job", findings=[Finding("path", f"{job!r} is not a job")])
