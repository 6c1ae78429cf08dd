"""Keep-alive HTTP/1.1 client with few event-loop wake-ups, built on the httptools parser."""

from .client import CallFailedError, HttpClient, NotConnectedError, Reply, build_request

__all__ = ["CallFailedError", "HttpClient", "NotConnectedError", "Reply", "build_request"]
