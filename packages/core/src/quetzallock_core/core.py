"""The small core that domains hang on: identity, time, dispatch of typed events, effects out."""

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
    """Who this process is.

    Attributes:
        host: Name of the entry host, unique among live ones.
        incarnation: Random number of this process; it changes with each restart.
        address: `ip:port` of the peer stream.
        data_centre: Data centre the host stands in.
    """

    host: str
    incarnation: int
    address: str
    data_centre: str

    @property
    def holder(self) -> str:
        """Name that leases are held under; it ends with this process."""
        return f"{self.host}#{self.incarnation}"


class Core:
    """Dispatches typed events to the domains and collects their effects."""

    def __init__(self, identity: Identity, clock: Clock, rng: Random) -> None:
        self.identity = identity
        self.clock = clock
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self._handlers: defaultdict[type, list[Handler]] = defaultdict(list)
        self._ticks: list[Callable[[int], None]] = []
        self._outbox: list[Effect] = []

    def listen(self, kind: type, handler: Handler) -> None:
        """Call `handler` with each event of exactly this `kind` and its source host."""
        self._handlers[kind].append(handler)

    def every_tick(self, handler: Callable[[int], None]) -> None:
        """Call `handler` with the time in ms at each tick."""
        self._ticks.append(handler)

    def fire(self, event: object, source: str = "") -> None:
        """Hand `event` to its listeners; one without listeners is counted."""
        handlers = self._handlers.get(type(event))
        if not handlers:
            self.counters["events.unheard"] += 1
            return
        for handler in handlers:
            handler(event, source)

    def tick(self) -> None:
        """Let every domain act on the passing of time."""
        now = self.clock.now()
        for handler in self._ticks:
            handler(now)

    def send(self, to: str, message: object) -> None:
        """Send `message` to the entry host `to`, also where that is this host."""
        self._outbox.append(Send(to, message))

    def answer(self, ticket: int, body: object) -> None:
        """Give the local caller under `ticket` its final answer."""
        self._outbox.append(Answer(ticket, body))

    def emit(self, effect: Effect) -> None:
        """Ask the outside for `effect`."""
        self._outbox.append(effect)

    def drain(self) -> list[Effect]:
        """Return the effects collected since the last call."""
        effects, self._outbox = self._outbox, []
        return effects
