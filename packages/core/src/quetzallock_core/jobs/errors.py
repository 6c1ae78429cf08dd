"""Errors of jobs."""

from ..exceptions import QuetzallockError


class JobConflictError(QuetzallockError):
    """Another job with the same id has been accepted."""

    code = "job_conflict"


class JobTooLargeError(QuetzallockError):
    """No worker can hold a task of this size."""

    code = "job_too_large"


class UnknownJobError(QuetzallockError):
    """No job of that id is known."""

    code = "unknown_job"
