"""Idempotency keys: each is kept by one entry host, so that a repeat never runs twice.

The host is found by hashing. When members change, the old host hands its keys over; until it
has, the new host refuses keys that it would have got. Where the old host has died, its keys are
lost: a request that declares itself a repeat is then answered `unknown`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..core import Core
from ..helpers.hashing import choose_owner
from ..members import Members
from ..members.const import DEAD
from ..members.models import MembersChanged
from .const import NOT_RUN, UNKNOWN, WHOLE, RequestSettings
from .models import ClaimKey, KeptKey, KeyAnswer, MoveKeys, Response, SettleKey

_PENDING: Final = "pending"
_RUN: Final = "run"
_DONE: Final = "done"
_MOVE_BATCH: Final = 64

OnAnswer = Callable[[KeyAnswer], None]


@dataclass(frozen=True, slots=True)
class _Kept:
    state: str
    at: int
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class _Asked:
    on_answer: OnAnswer
    key: str
    deadline: int


class Keys:
    """This host's part in keeping keys, and its questions to other hosts."""

    def __init__(self, core: Core, members: Members, settings: RequestSettings) -> None:
        self._core = core
        self._members = members
        self._settings = settings
        self._kept: dict[str, _Kept] = {}
        self._asked: dict[int, _Asked] = {}
        self._next_request = 0
        self._hosts: tuple[str, ...] = members.reachable
        self._former_hosts: tuple[str, ...] = ()
        self._waiting_for: dict[str, int] = {}
        self._began = core.clock.now()
        core.listen(ClaimKey, self._on_claim)
        core.listen(KeyAnswer, self._on_answer)
        core.listen(SettleKey, self._on_settle)
        core.listen(MoveKeys, self._on_move)
        core.listen(MembersChanged, self._on_members)
        core.every_tick(self._tick)

    def claim(self, key: str, repeat: bool, on_answer: OnAnswer) -> None:
        """Ask the key's host; `on_answer` is called once."""
        self._next_request += 1
        request = self._next_request
        deadline = self._core.clock.now() + self._settings.key_wait_ms
        self._asked[request] = _Asked(on_answer, key, deadline)
        self._core.send(self._find_home(key), ClaimKey(request, key, repeat))

    def settle(self, key: str, outcome: str, response: Response | None) -> None:
        """Tell the key's host how the request ended."""
        if response is not None and len(response.body) > self._settings.key_body_bytes:
            response = None
        self._core.send(self._find_home(key), SettleKey(key, outcome, response))

    def _find_home(self, key: str, hosts: tuple[str, ...] | None = None) -> str:
        owner = choose_owner(f"key/{key}", self._hosts if hosts is None else hosts)
        return owner or self._core.identity.host

    def _on_claim(self, claim: ClaimKey, source: str) -> None:
        verdict, response = self._judge(claim)
        self._core.send(source, KeyAnswer(claim.request, claim.key, verdict, response))

    def _judge(self, claim: ClaimKey) -> tuple[str, Response | None]:
        now = self._core.clock.now()
        kept = self._kept.get(claim.key)
        if kept is not None:
            return self._judge_known(kept)
        if self._find_home(claim.key) != self._core.identity.host:
            return NOT_RUN, None
        if self._is_handover_open(claim.key):
            return NOT_RUN, None
        if claim.repeat and now - self._began < self._settings.key_ms:
            return UNKNOWN, None
        self._kept[claim.key] = _Kept(_PENDING, now)
        return _RUN, None

    def _judge_known(self, kept: _Kept) -> tuple[str, Response | None]:
        if kept.state == WHOLE and kept.response is not None:
            return _DONE, kept.response
        return UNKNOWN, None

    def _is_handover_open(self, key: str) -> bool:
        if not self._former_hosts:
            return False
        former = self._find_home(key, self._former_hosts)
        return former in self._waiting_for

    def _on_settle(self, settle: SettleKey, _source: str) -> None:
        if settle.outcome == NOT_RUN:
            self._kept.pop(settle.key, None)
            return
        now = self._core.clock.now()
        self._kept[settle.key] = _Kept(settle.outcome, now, settle.response)

    def _on_answer(self, answer: KeyAnswer, _source: str) -> None:
        asked = self._asked.pop(answer.request, None)
        if asked is not None:
            asked.on_answer(answer)
        elif answer.verdict == _RUN:
            self.settle(answer.key, NOT_RUN, None)

    def _on_members(self, event: MembersChanged, _source: str) -> None:
        now = self._core.clock.now()
        me = self._core.identity.host
        gone = [host for host in self._hosts if host not in event.hosts]
        if gone:
            self._began = now
        self._former_hosts, self._hosts = self._hosts, event.hosts
        self._waiting_for = {
            host: now + self._settings.key_handover_ms
            for host in self._former_hosts
            if host != me and self._members.state_of(host) != DEAD
        }
        self._hand_over(now)

    def _hand_over(self, now: int) -> None:
        by_home: dict[str, list[KeptKey]] = {
            host: [] for host in self._hosts if host != self._core.identity.host
        }
        for key, kept in list(self._kept.items()):
            home = self._find_home(key)
            if home in by_home:
                del self._kept[key]
                by_home[home].append(KeptKey(key, kept.state, now - kept.at, kept.response))
        for home, keys in by_home.items():
            for start in range(0, len(keys), _MOVE_BATCH):
                self._core.send(home, MoveKeys(tuple(keys[start : start + _MOVE_BATCH]), False))
            self._core.send(home, MoveKeys((), True))

    def _on_move(self, move: MoveKeys, source: str) -> None:
        now = self._core.clock.now()
        for kept in move.keys:
            entry = _Kept(kept.state, now - kept.age_ms, kept.response)
            self._kept.setdefault(kept.key, entry)
        if move.last:
            self._waiting_for.pop(source, None)

    def _tick(self, now: int) -> None:
        for request, asked in list(self._asked.items()):
            if now >= asked.deadline:
                del self._asked[request]
                asked.on_answer(KeyAnswer(request, asked.key, NOT_RUN))
        for host, until in list(self._waiting_for.items()):
            if now >= until:
                del self._waiting_for[host]
        self._expire(now)

    def _expire(self, now: int) -> None:
        """Drop old keys, oldest first; a pending one whose host died has no known outcome."""
        for key, kept in list(self._kept.items())[:_MOVE_BATCH]:
            age = now - kept.at
            if age >= self._settings.key_ms:
                del self._kept[key]
