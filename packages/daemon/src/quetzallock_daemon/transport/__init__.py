"""Keep-alive HTTP/1.1 client with few event-loop wake-ups, built on the httptools parser."""

from .calls import Reply
from .channel import Channel
from .client import HttpClient, build_request
from .errors import (
    CallFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
    ConnectionUnansweredError,
    NotConnectedError,
)

__all__ = [
    "CallFailedError",
    "Channel",
    "ConnectionLostError",
    "ConnectionRejectedError",
    "ConnectionUnansweredError",
    "HttpClient",
    "NotConnectedError",
    "Reply",
    "build_request",
]
