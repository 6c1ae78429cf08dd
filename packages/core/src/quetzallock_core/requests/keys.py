"""Idempotency keys: one entry host owns each key, so that a repeated request never runs twice.

The owner is computed by hashing. When the members change, the previous owner hands its keys over;
until it has done so or a time limit passes, the new owner refuses claims of those keys. If the
previous owner has died, its keys are lost: a request that is declared a repeat is then answered
`unknown`.
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
from .models import ClaimKey, HandOverKeys, KeyAnswer, KeyRecord, RecordKeyOutcome, Response

_PENDING: Final = "pending"
_RUN: Final = "run"
_DONE: Final = "done"
_BATCH_SIZE: Final = 64

OnAnswer = Callable[[KeyAnswer], None]


@dataclass(frozen=True, slots=True)
class _KeyEntry:
    state: str
    recorded_at: int
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class _HandOver:
    """A change of members after which previous owners hand their keys over.

    Attributes:
        hosts: The members before the change.
        deadlines: Previous owners that have not finished, each with its time limit.
    """

    hosts: tuple[str, ...]
    deadlines: dict[str, int]


@dataclass(frozen=True, slots=True)
class _PendingClaim:
    on_answer: OnAnswer
    key: str
    deadline: int


class IdempotencyKeys:
    """Stores the keys that this host owns, and claims keys from their owners."""

    def __init__(self, core: Core, members: Members, settings: RequestSettings) -> None:
        self._core = core
        self._members = members
        self._settings = settings
        self._entries: dict[str, _KeyEntry] = {}
        self._claims: dict[int, _PendingClaim] = {}
        self._last_claim_number = 0
        self._hosts: tuple[str, ...] = members.reachable
        self._hand_overs: list[_HandOver] = []
        self._has_foreign_keys = False
        # Until this is `key_ms` ago, the record of a repeated key may have been lost.
        self._complete_since = core.clock.now()
        core.listen(ClaimKey, self._on_claim)
        core.listen(KeyAnswer, self._on_answer)
        core.listen(RecordKeyOutcome, self._on_outcome)
        core.listen(HandOverKeys, self._on_handover)
        core.listen(MembersChanged, self._on_members)
        core.every_tick(self._tick)

    def claim(self, key: str, repeat: bool, on_answer: OnAnswer) -> None:
        """Claim a key from its owner; `on_answer` is called once."""
        self._last_claim_number += 1
        request = self._last_claim_number
        deadline = self._core.clock.now() + self._settings.key_wait_ms
        self._claims[request] = _PendingClaim(on_answer, key, deadline)
        self._core.send(self._find_owner(key), ClaimKey(request, key, repeat))

    def record_outcome(self, key: str, outcome: str, response: Response | None) -> None:
        """Report the outcome of a request to the key's owner."""
        if response is not None and len(response.body) > self._settings.key_body_bytes:
            response = None
        self._core.send(self._find_owner(key), RecordKeyOutcome(key, outcome, response))

    def _find_owner(self, key: str, hosts: tuple[str, ...] | None = None) -> str:
        owner = choose_owner(f"key/{key}", self._hosts if hosts is None else hosts)
        return owner or self._core.identity.host

    def _on_claim(self, claim: ClaimKey, source: str) -> None:
        decision, response = self._decide_claim(claim)
        self._core.send(source, KeyAnswer(claim.request, claim.key, decision, response))

    def _decide_claim(self, claim: ClaimKey) -> tuple[str, Response | None]:
        now = self._core.clock.now()
        entry = self._entries.get(claim.key)
        if entry is not None:
            return self._decide_known(entry)
        if self._find_owner(claim.key) != self._core.identity.host:
            return NOT_RUN, None
        if self._is_handover_pending(claim.key):
            return NOT_RUN, None
        if claim.repeat and now - self._complete_since < self._settings.key_ms:
            return UNKNOWN, None
        self._entries[claim.key] = _KeyEntry(_PENDING, now)
        return _RUN, None

    def _decide_known(self, entry: _KeyEntry) -> tuple[str, Response | None]:
        if entry.state == WHOLE and entry.response is not None:
            return _DONE, entry.response
        return UNKNOWN, None

    def _is_handover_pending(self, key: str) -> bool:
        return any(
            self._find_owner(key, hand_over.hosts) in hand_over.deadlines
            for hand_over in self._hand_overs
        )

    def _on_outcome(self, report: RecordKeyOutcome, _source: str) -> None:
        if report.outcome == NOT_RUN:
            self._entries.pop(report.key, None)
            return
        now = self._core.clock.now()
        self._entries[report.key] = _KeyEntry(report.outcome, now, report.response)

    def _on_answer(self, answer: KeyAnswer, _source: str) -> None:
        claim = self._claims.pop(answer.request, None)
        if claim is not None:
            claim.on_answer(answer)
        elif answer.decision == _RUN:
            # The claim has timed out and its request was not run: release the key.
            self.record_outcome(answer.key, NOT_RUN, None)

    def _on_members(self, event: MembersChanged, _source: str) -> None:
        now = self._core.clock.now()
        me = self._core.identity.host
        departed_hosts = [host for host in self._hosts if host not in event.hosts]
        if departed_hosts:
            self._complete_since = now
        deadlines = {
            host: now + self._settings.key_handover_ms
            for host in self._hosts
            if host != me and self._members.state_of(host) != DEAD
        }
        self._hand_overs.append(_HandOver(self._hosts, deadlines))
        self._hosts = event.hosts
        self._hand_over_keys(now)

    def _hand_over_keys(self, now: int) -> None:
        by_owner: dict[str, list[KeyRecord]] = {
            host: [] for host in self._hosts if host != self._core.identity.host
        }
        for key, entry in list(self._entries.items()):
            owner = self._find_owner(key)
            if owner in by_owner:
                del self._entries[key]
                by_owner[owner].append(
                    KeyRecord(key, entry.state, now - entry.recorded_at, entry.response)
                )
        for owner, keys in by_owner.items():
            for start in range(0, len(keys), _BATCH_SIZE):
                self._core.send(
                    owner, HandOverKeys(tuple(keys[start : start + _BATCH_SIZE]), False)
                )
            self._core.send(owner, HandOverKeys((), True))

    def _on_handover(self, handover: HandOverKeys, source: str) -> None:
        """Add the keys of a previous owner.

        Those that have yet another owner by now are passed on with the next tick, not at once, as
        two hosts with different lists of members would pass them back and forth.
        """
        now = self._core.clock.now()
        for record in handover.keys:
            entry = _KeyEntry(record.state, now - record.age_ms, record.response)
            self._entries.setdefault(record.key, entry)
        if handover.last:
            for pending in self._hand_overs:
                pending.deadlines.pop(source, None)
        me = self._core.identity.host
        self._has_foreign_keys |= any(
            self._find_owner(record.key) != me for record in handover.keys
        )

    def _tick(self, now: int) -> None:
        for request, claim in list(self._claims.items()):
            if now >= claim.deadline:
                del self._claims[request]
                claim.on_answer(KeyAnswer(request, claim.key, NOT_RUN))
        for hand_over in self._hand_overs:
            for host, deadline in list(hand_over.deadlines.items()):
                if now >= deadline:
                    del hand_over.deadlines[host]
        self._hand_overs = [one for one in self._hand_overs if one.deadlines]
        if self._has_foreign_keys:
            self._has_foreign_keys = False
            self._hand_over_keys(now)
        self._expire_keys(now)

    def _expire_keys(self, now: int) -> None:
        """Drop expired keys, oldest first, at most one batch in each call.

        If the host that claimed a key died during the request, the key stays pending until it
        expires, since the outcome is unknown.
        """
        for key, entry in list(self._entries.items())[:_BATCH_SIZE]:
            age = now - entry.recorded_at
            if age >= self._settings.key_ms:
                del self._entries[key]
