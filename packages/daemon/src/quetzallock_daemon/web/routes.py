"""Table of HTTP routes; handlers register themselves by a decorator."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .errors import MethodNotAllowedError, UnknownPathError

Handler = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Route:
    """Handler of the requests with a method and a path pattern; `*` matches any method."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


ROUTES: list[Route] = []


def route(method: str, pattern: str) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler; named groups become its arguments."""

    def register(handler: Handler) -> Handler:
        ROUTES.append(Route(method, re.compile(pattern), handler))
        return handler

    return register


def find_route(method: str, path: str) -> tuple[Handler, dict[str, Any]]:
    """Return the handler of a request and its arguments.

    Raises:
        UnknownPathError: No route has this path.
        MethodNotAllowedError: The path supports other methods only.
    """
    is_known_path = False
    for candidate in ROUTES:
        match = candidate.pattern.fullmatch(path)
        if match is None:
            continue
        is_known_path = True
        if candidate.method in (method, "*"):
            return candidate.handler, match.groupdict()
    if is_known_path:
        raise MethodNotAllowedError(method)
    raise UnknownPathError(path)
