"""The table of routes, filled by decorators."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .errors import MethodNotAllowedError, UnknownPathError

Handler = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Route:
    """A method and a pattern of paths, and what answers them; `*` is any method."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


ROUTES: list[Route] = []


def route(method: str, pattern: str) -> Callable[[Handler], Handler]:
    """Return a decorator that enters a handler; named groups become its arguments."""

    def enter(handler: Handler) -> Handler:
        ROUTES.append(Route(method, re.compile(pattern), handler))
        return handler

    return enter


def find_route(method: str, path: str) -> tuple[Handler, dict[str, Any]]:
    """Return the handler of a request and its arguments.

    Raises:
        UnknownPathError: No route has this path.
        MethodNotAllowedError: The path is offered with other methods only.
    """
    is_known = False
    for entry in ROUTES:
        match = entry.pattern.fullmatch(path)
        if match is None:
            continue
        is_known = True
        if entry.method in (method, "*"):
            return entry.handler, match.groupdict()
    if is_known:
        raise MethodNotAllowedError(method)
    raise UnknownPathError(path)
