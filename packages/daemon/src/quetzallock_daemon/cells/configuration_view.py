"""What a host knows of the configuration, and as of when."""

from dataclasses import dataclass, replace

from ..transport import Channel


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The configuration that a host applies; times in ms by its `BootClock`.

    Attributes:
        version: Version in force; None before the first one.
        in_force_since: Time from which on the host has applied this version.
        confirmed_at: Time as of which no newer version was in the store; None before the first read
            that reached the end of the topic.
        channel: Connection that carried the read that confirmed it last, if it is known.
    """

    version: int | None = None
    in_force_since: int | None = None
    confirmed_at: int | None = None
    channel: Channel | None = None

    def apply(self, version: int, now: int) -> "ConfigurationView":
        """Return the view with another version in force."""
        return replace(self, version=version, in_force_since=now)

    def confirm(self, at: int, channel: Channel | None) -> "ConfigurationView":
        """Return the view after a read that reached the end of the topic as of `at`."""
        if self.confirmed_at is not None:
            at = max(at, self.confirmed_at)
        return replace(self, confirmed_at=at, channel=channel)

    def compute_age_ms(self, now: int) -> int | None:
        """Return the time since the view was confirmed; None if it never was."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def compute_in_force_ms(self, now: int) -> int | None:
        """Return how long the version has been in force; None before the first one."""
        return None if self.in_force_since is None else now - self.in_force_since
