"""Keep-alive HTTP/1.1 client with few event-loop wake-ups, built on the httptools parser."""

from .channel import Channel
from .client import CallFailedError, HttpClient, NotConnectedError, Reply, build_request

__all__ = [
    "CallFailedError",
    "Channel",
    "HttpClient",
    "NotConnectedError",
    "Reply",
    "build_request",
]
