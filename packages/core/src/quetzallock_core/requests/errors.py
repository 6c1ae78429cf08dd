"""Errors that callers receive for invalid requests."""

from ..exceptions import Finding, QuetzallockError


class BodyTooLargeError(QuetzallockError):
    """The request body exceeds the size limit."""

    code = "body_too_large"

    def __init__(self, limit: int) -> None:
        finding = Finding("body", f"is larger than {limit} bytes")
        super().__init__("the request body is too large", findings=[finding])


class UnknownServiceError(QuetzallockError):
    """The path names a service that is not configured."""

    code = "unknown_service"

    def __init__(self, service: str) -> None:
        finding = Finding("path", f"{service!r} is not a configured service")
        super().__init__("unknown service", findings=[finding])
