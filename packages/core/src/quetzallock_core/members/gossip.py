"""Failure detection by ring neighbours and dissemination by rumours, based on SWIM.

A host pings its next few neighbours on a hash ring. Changes are piggybacked on pings and answers;
each is retransmitted a number of times that grows with the logarithm of the member count. So the
message rate of a host does not grow with the number of hosts.
"""

import logging
import math
from bisect import bisect_right
from dataclasses import dataclass, replace

from ..const import NO_OFFSET
from ..core import Core
from ..helpers.hashing import hash_text
from .const import ALIVE, DEAD, LEAVING, STATE_RANK, SUSPECT, MemberSettings
from .models import MembersChanged, PeerPresetSeen, Ping, PingAnswer, Rumour

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class _Member:
    rumour: Rumour
    changed_at: int
    sends_left: int = 0


@dataclass(frozen=True, slots=True)
class _Probe:
    sequence: int
    sent_at: int


class Members:
    """The member list of one host."""

    def __init__(self, core: Core, settings: MemberSettings) -> None:
        self._core = core
        self._settings = settings
        self._sequence = 0
        self._probes: dict[str, _Probe] = {}
        self._next_ping = 0
        self._next_rejoin = 0
        self._reachable: tuple[str, ...] = ()
        self._preset_offset = NO_OFFSET
        self._join_at = core.clock.now() + (settings.join_ms if settings.seeds else 0)
        self._has_joined = not settings.seeds
        me = core.identity
        mine = Rumour(me.host, me.incarnation, 1, ALIVE, me.address, me.data_centre)
        self._members: dict[str, _Member] = {}
        self._accept(mine, core.clock.now())
        core.listen(Ping, self._on_ping)
        core.listen(PingAnswer, self._on_answer)
        core.every_tick(self._tick)

    @property
    def reachable(self) -> tuple[str, ...]:
        """Hosts that may own racks and shards, including this one, sorted by name."""
        return self._reachable

    def state_of(self, host: str) -> str:
        """Return the state of `host`; an unknown host counts as dead."""
        member = self._members.get(host)
        return member.rumour.state if member else DEAD

    def address_of(self, host: str) -> str | None:
        """Return the peer address of `host`, if known."""
        member = self._members.get(host)
        return member.rumour.address if member else None

    def data_centre_of(self, host: str) -> str | None:
        """Return the data centre of `host`, if known."""
        member = self._members.get(host)
        return member.rumour.data_centre if member else None

    def set_preset_offset(self, offset: int) -> None:
        """Announce in heartbeats that presets are applied up to `offset`."""
        self._preset_offset = offset

    def leave(self) -> None:
        """Announce that this host is stopping, so that others take over its work at once."""
        self._announce_self(LEAVING)
        for host in self._pick_neighbours():
            self._ping(host, self._core.clock.now())

    def _tick(self, now: int) -> None:
        if not self._has_joined and now >= self._join_at:
            self._join()
        self._expire(now)
        if now >= self._next_ping:
            self._next_ping = now + self._settings.ping_ms
            for host in self._pick_neighbours():
                if host not in self._probes:
                    self._ping(host, now)
        if now >= self._next_rejoin:
            self._next_rejoin = now + self._settings.rejoin_ms
            self._rejoin(now)

    def _join(self) -> None:
        """Publish the member list from now on, so that this host may own racks and shards."""
        self._has_joined = True
        self._publish()

    def _expire(self, now: int) -> None:
        for host, probe in list(self._probes.items()):
            if now - probe.sent_at >= self._settings.ping_timeout_ms:
                del self._probes[host]
                self._suspect(host, now)
        for host, member in list(self._members.items()):
            age = now - member.changed_at
            state = member.rumour.state
            if state == SUSPECT and age >= self._settings.suspect_ms:
                self._set_state(host, DEAD, now)
            elif self._is_forgotten(host, state, age):
                del self._members[host]

    def _is_forgotten(self, host: str, state: str, age: int) -> bool:
        is_gone = state in (DEAD, LEAVING) and age >= self._settings.forget_ms
        return is_gone and host != self._core.identity.host

    def _suspect(self, host: str, now: int) -> None:
        if self.state_of(host) == ALIVE:
            self._set_state(host, SUSPECT, now)

    def _set_state(self, host: str, state: str, now: int) -> None:
        member = self._members[host]
        self._accept(replace(member.rumour, state=state), now)

    def _announce_self(self, state: str, min_version: int = 0) -> None:
        mine = self._members[self._core.identity.host].rumour
        me = self._core.identity
        version = max(mine.version, min_version) + 1
        renewed = Rumour(me.host, me.incarnation, version, state, me.address, me.data_centre)
        self._accept(renewed, self._core.clock.now())

    def _rejoin(self, now: int) -> None:
        """Ping one seed or one dead host, so that partitioned groups merge again."""
        me = self._core.identity
        dead = [host for host in self._members if self.state_of(host) == DEAD]
        known = {member.rumour.address for member in self._members.values()}
        targets = dead + [seed for seed in self._settings.seeds if seed not in known]
        targets = [target for target in targets if target not in (me.host, me.address)]
        if targets:
            self._send_ping(self._core.rng.choice(sorted(targets)), now, full=True)

    def _pick_neighbours(self) -> list[str]:
        me = self._core.identity.host
        ring = sorted(
            (hash_text(host), host)
            for host, member in self._members.items()
            if member.rumour.state in (ALIVE, SUSPECT) and host != me
        )
        start = bisect_right(ring, (hash_text(me), me))
        ordered = ring[start:] + ring[:start]
        return [host for _, host in ordered[: self._settings.neighbours]]

    def _ping(self, host: str, now: int) -> None:
        self._send_ping(host, now, full=False)
        self._probes[host] = _Probe(self._sequence, now)

    def _send_ping(self, host: str, now: int, full: bool) -> None:
        self._sequence += 1
        rumours = self._pick_rumours(host)
        mine = self._members[self._core.identity.host].rumour
        if full and mine not in rumours:
            rumours = (*rumours, mine)
        self._core.send(host, Ping(self._sequence, rumours, self._preset_offset, full))

    def _pick_rumours(self, receiver: str) -> tuple[Rumour, ...]:
        """Return recent changes, and the receiver's own entry whenever that is not alive.

        A restarted host must receive the death of its former incarnation to refute it.
        """
        fresh = [member for member in self._members.values() if member.sends_left > 0]
        fresh.sort(key=lambda member: -member.sends_left)
        chosen = fresh[: self._settings.rumours_per_message]
        for member in chosen:
            member.sends_left -= 1
        receiver_entry = self._members.get(receiver)
        if (
            receiver_entry is not None
            and receiver_entry.rumour.state != ALIVE
            and receiver_entry not in chosen
        ):
            chosen.append(receiver_entry)
        return tuple(member.rumour for member in chosen)

    def _on_ping(self, ping: Ping, source: str) -> None:
        self._merge(ping.rumours)
        rumours = self._pick_rumours(source)
        if ping.full:
            rumours = tuple(member.rumour for member in self._members.values())
        self._core.send(source, PingAnswer(ping.sequence, rumours, self._preset_offset))
        self._core.fire(PeerPresetSeen(source, ping.preset_offset))

    def _on_answer(self, answer: PingAnswer, source: str) -> None:
        probe = self._probes.get(source)
        if probe is not None and probe.sequence == answer.sequence:
            del self._probes[source]
        self._merge(answer.rumours)
        if not self._has_joined:
            self._join()
        self._core.fire(PeerPresetSeen(source, answer.preset_offset))

    def _merge(self, rumours: tuple[Rumour, ...]) -> None:
        now = self._core.clock.now()
        for rumour in rumours:
            if rumour.host == self._core.identity.host:
                self._refute(rumour)
            else:
                self._accept(rumour, now)

    def _refute(self, rumour: Rumour) -> None:
        """Announce the state of this host with a higher version if `rumour` contradicts it."""
        mine = self._members[self._core.identity.host].rumour
        if rumour == mine or rumour.version < mine.version:
            return
        if rumour.incarnation != mine.incarnation or rumour.state != mine.state:
            self._announce_self(mine.state, rumour.version)

    def _accept(self, rumour: Rumour, now: int) -> None:
        old = self._members.get(rumour.host)
        if old is not None and _rank(rumour) <= _rank(old.rumour):
            return
        sends = 2 * math.ceil(math.log2(len(self._members) + 2))
        self._members[rumour.host] = _Member(rumour, now, sends)
        self._probes.pop(rumour.host, None)
        if old is None or old.rumour.state != rumour.state:
            _LOGGER.info("entry host %s is %s", rumour.host, rumour.state)
        self._publish()

    def _publish(self) -> None:
        if not self._has_joined:
            return
        reachable = tuple(
            sorted(
                host
                for host, member in self._members.items()
                if member.rumour.state in (ALIVE, SUSPECT)
            )
        )
        if reachable != self._reachable:
            self._reachable = reachable
            self._core.fire(MembersChanged(reachable))


def _rank(rumour: Rumour) -> tuple[int, int, int]:
    return (rumour.version, STATE_RANK[rumour.state], rumour.incarnation)
