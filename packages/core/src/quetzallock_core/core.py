"""Event dispatcher of an entry host, which passes typed events to domains and collects effects."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from .clock import Clock
from .effects import Answer, Effect, Send

Handler = Callable[[Any, str], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one process of an entry host.

    Attributes:
        host: Name of the entry host, unique among running hosts.
        incarnation: Random number of this process; it changes with each restart.
        address: `ip:port` of the peer stream.
        data_centre: Data centre of the host.
    """

    host: str
    incarnation: int
    address: str
    data_centre: str

    @property
    def holder(self) -> str:
        """Name under which this process holds leases; a restarted process has another one."""
        return f"{self.host}#{self.incarnation}"


class Core:
    """Dispatches typed events to the handlers of the domains and collects their effects."""

    def __init__(self, identity: Identity, clock: Clock, rng: Random) -> None:
        self.identity = identity
        self.clock = clock
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self._handlers: defaultdict[type, list[Handler]] = defaultdict(list)
        self._tick_handlers: list[Callable[[int], None]] = []
        self._outbox: list[Effect] = []

    def listen(self, event_type: type, handler: Handler) -> None:
        """Register `handler` for events of exactly `event_type`.

        It receives the event and the name of the host that sent it, empty for local events.
        """
        self._handlers[event_type].append(handler)

    def every_tick(self, handler: Callable[[int], None]) -> None:
        """Register `handler` to be called at each tick with the time in ms."""
        self._tick_handlers.append(handler)

    def fire(self, event: object, source: str = "") -> None:
        """Pass `event` to its handlers; count it if it has none."""
        handlers = self._handlers.get(type(event))
        if not handlers:
            self.counters["events.unheard"] += 1
            return
        for handler in handlers:
            handler(event, source)

    def tick(self) -> None:
        """Call all tick handlers with the current time."""
        now = self.clock.now()
        for handler in self._tick_handlers:
            handler(now)

    def send(self, to: str, message: object) -> None:
        """Send `message` to the entry host `to`, which may be this host."""
        self._outbox.append(Send(to, message))

    def answer(self, ticket: int, body: object) -> None:
        """Send `body` as the final answer to the local caller that waits under `ticket`."""
        self._outbox.append(Answer(ticket, body))

    def emit(self, effect: Effect) -> None:
        """Queue `effect` for execution by the process."""
        self._outbox.append(effect)

    def drain(self) -> list[Effect]:
        """Return and clear the effects collected since the last call."""
        effects, self._outbox = self._outbox, []
        return effects
