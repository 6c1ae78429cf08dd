"""Errors of requests, as callers see them."""

from ..exceptions import Finding, QuetzallockError


class BodyTooLargeError(QuetzallockError):
    """The body is over the limit."""

    code = "body_too_large"

    def __init__(self, limit: int) -> None:
        finding = Finding("body", f"is larger than {limit} bytes")
        super().__init__("the body is too large", findings=[finding])


class UnknownServiceError(QuetzallockError):
    """No service has this name."""

    code = "unknown_service"

    def __init__(self, service: str) -> None:
        finding = Finding("path", f"{service!r} is not a service")
        super().__init__("no such service", findings=[finding])
