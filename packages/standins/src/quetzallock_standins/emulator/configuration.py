"""Emulated operator of the configuration, and the check of what hosts do with its versions."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

QUEUE_HOST: Final = "desk.example"
STEADY_PREFIX: Final = "/steady/"
"""Path prefix of the route that all versions have; its service changes with each version."""

NO_ROUTE: Final = ""
"""Outcome of a request that is refused with 404."""

NO_VERSION: Final = -1
"""Stands for the number of a version where there is none; before all numbers."""

_STEADY_SERVICES: Final = ("pool-a", "pool-b", "pool-c")
_ADDED_SERVICE: Final = "pool-a"
_ADDED_ROUTES_KEPT: Final = 2
"""Number of versions in which an added route stays before it is removed."""
_MAX_VERSION_STEP: Final = 3


@dataclass(frozen=True, slots=True)
class ConfigurationBounds:
    """Bounds that the deployment sets for the configuration, in ms.

    Attributes:
        apply_ms: Time after the ack of a version from which on hosts in touch go by it.
        contact_ms: Time without a disturbance after which a host is in touch.
        rollback_slack_ms: Time after a version's first effect at a host from which on the host does
            not go by an older version.
    """

    apply_ms: int = 2_000
    contact_ms: int = 3_000
    rollback_slack_ms: int = 250


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A version that the store has confirmed.

    Attributes:
        number: Its number.
        acked_at: Time of the confirmation in ms.
        services: The service of each route, by path prefix.
    """

    number: int
    acked_at: int
    services: dict[str, str]

    def allows(self, prefix: str, outcome: str) -> bool:
        """Return whether a request may have this outcome: a service, or `NO_ROUTE`."""
        return self.services.get(prefix, NO_ROUTE) == outcome


class ConfigurationOperator:
    """Publishes versions, each of which adds a route, changes one, and removes the oldest one.

    Attributes:
        versions: The published versions, the newest one last.
    """

    def __init__(self, read_ms: Callable[[], int], write: Callable[[bytes], None]) -> None:
        """Read the time by `read_ms`; `write` stores a configuration and returns once confirmed."""
        self._read_ms = read_ms
        self._write = write
        self._last_number = 0
        self.versions: list[PublishedVersion] = []

    def publish(self) -> PublishedVersion:
        """Publish the next version."""
        number = self._take_number()
        kept = [f"/added-{version.number}/" for version in self.versions[-_ADDED_ROUTES_KEPT:]]
        services = dict.fromkeys([*kept, f"/added-{number}/"], _ADDED_SERVICE)
        services[STEADY_PREFIX] = _STEADY_SERVICES[len(self.versions) % len(_STEADY_SERVICES)]
        self._write(encode_configuration(number, services))
        version = PublishedVersion(number, self._read_ms(), services)
        self.versions.append(version)
        return version

    def write_invalid(self) -> None:
        """Write a record that is no configuration, which no host may go by."""
        self._write(b'{"version":%d,"routes":' % self._take_number())

    def list_prefixes(self, versions: int) -> list[str]:
        """Return the path prefixes of the routes in the newest versions, removed ones included."""
        newest = self.versions[-versions:]
        return sorted({prefix for version in newest for prefix in version.services})

    def _take_number(self) -> int:
        """Return the next number; numbers increase in uneven steps."""
        self._last_number += 1 + self._last_number % _MAX_VERSION_STEP
        return self._last_number


def encode_configuration(number: int, services: dict[str, str]) -> bytes:
    """Return the record of a version in the platform's format."""
    routes = [_make_route(prefix, service) for prefix, service in services.items()]
    document = {"version": number, "routes": routes, "services": [], "limits": {}}
    return json.dumps(document).encode()


def _make_route(prefix: str, service: str) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": QUEUE_HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3_000,
        "targetCompletionMs": 250,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "slackFactor": 1.5,
    }


@dataclass(slots=True)
class _Boot:
    """What was seen of one boot of a host.

    Attributes:
        effects: Version and time of each version's first effect that a worker saw, in order.
    """

    effects: list[tuple[int, int]] = field(default_factory=list)


class ConfigurationCheck:
    """Judges by the outcomes of requests whether hosts go by the versions in time, and never back.

    A request counts as sent at the moment at which the host handles it.
    """

    def __init__(
        self, operator: ConfigurationOperator, bounds: ConfigurationBounds | None = None
    ) -> None:
        self._operator = operator
        self._bounds = bounds or ConfigurationBounds()
        self._disturbed_at: dict[str, int] = {}
        self._boots: dict[tuple[str, int], _Boot] = {}
        self._late: dict[tuple[str, int], int] = {}
        self._regressions: list[str] = []

    @property
    def violations(self) -> list[str]:
        """One line for each host and version that was late, and for each regression."""
        late = [
            f"{host} went by a version before {number} until {late_ms} ms after its ack"
            for (host, number), late_ms in self._late.items()
        ]
        return late + self._regressions

    def record_disturbance(self, host: str, now: int) -> None:
        """Record that the host, its link or the store is disturbed."""
        self._disturbed_at[host] = now

    def is_in_touch(self, host: str, now: int) -> bool:
        """Return whether a host has been without a disturbance for the whole time before `now`."""
        disturbed_at = self._disturbed_at.get(host)
        return disturbed_at is None or now - disturbed_at > self._bounds.contact_ms

    def record(self, host: str, boot: int, prefix: str, outcome: str, now: int) -> None:
        """Record a request's outcome at a boot of a host, and judge it."""
        versions = self._operator.versions
        newest = _find_first_allowing(reversed(versions), prefix, outcome)
        if self.is_in_touch(host, now):
            self._check_in_time(host, newest, now)
        effects = self._boots.setdefault((host, boot), _Boot()).effects
        self._check_regression(host, prefix, effects, newest, now)
        if outcome != NO_ROUTE:
            oldest = _find_first_allowing(versions, prefix, outcome)
            if oldest > (effects[-1][0] if effects else NO_VERSION):
                effects.append((oldest, now))

    def _check_in_time(self, host: str, newest: int, now: int) -> None:
        """Check that no version older than one that was due allows the outcome."""
        due_before = now - self._bounds.apply_ms
        due = [version for version in self._operator.versions if version.acked_at < due_before]
        if due and newest < due[-1].number:
            self._late[host, due[-1].number] = now - due[-1].acked_at

    def _check_regression(
        self, host: str, prefix: str, effects: list[tuple[int, int]], newest: int, now: int
    ) -> None:
        """Check that the outcome is not that of a version older than one that had an effect."""
        settled_before = now - self._bounds.rollback_slack_ms
        settled = [number for number, seen_at in effects if seen_at < settled_before]
        if settled and newest < settled[-1]:
            self._regressions.append(
                f"{now}: {host} handles {prefix} by a version before {settled[-1]} again"
            )


def _find_first_allowing(versions: Iterable[PublishedVersion], prefix: str, outcome: str) -> int:
    """Return the number of the first version that allows an outcome, or `NO_VERSION`."""
    allowing = (version.number for version in versions if version.allows(prefix, outcome))
    return next(allowing, NO_VERSION)
