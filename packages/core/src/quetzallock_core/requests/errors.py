"""Errors of requests, as callers see them."""

from ..exceptions import QuetzallockError


class BadDeadlineError(QuetzallockError):
    """The deadline is no number of milliseconds, or out of range."""

    code = "bad_deadline"


class BodyTooLargeError(QuetzallockError):
    """The body is over the limit."""

    code = "body_too_large"


class UnreadableBodyError(QuetzallockError):
    """The body cannot be read."""

    code = "unreadable_body"


class UnknownServiceError(QuetzallockError):
    """No service has this name."""

    code = "unknown_service"
