"""Keeps this host's preset state up to date, from the log and from peers."""

import logging
from dataclasses import dataclass, replace

from ..codec import decode, encode
from ..const import NO_OFFSET
from ..core import Core
from ..effects import Append, Appended, Read, ReadDone
from ..exceptions import CodecError, InvalidInputError
from ..helpers.hashing import choose_owner
from ..members import Members
from ..members.models import PeerPresetSeen
from ..members.queries import HostQueries
from .catalog import EMPTY, apply_record, find_preset
from .const import STREAM, PresetSettings
from .models import (
    ChangeOutcome,
    FetchPresets,
    HostPreset,
    InForce,
    PresetChanged,
    PresetState,
    PublishPreset,
    QueryInForce,
    UsePreset,
)
from .schema import parse_preset

_LOGGER = logging.getLogger(__name__)
_RETRY_AFTER_MS = 1_000


@dataclass(slots=True)
class _PendingChange:
    ticket: int
    deadline: int


class Presets:
    """The preset state of one host; it never reverts to an older switch."""

    def __init__(self, core: Core, members: Members, settings: PresetSettings) -> None:
        self._core = core
        self._members = members
        self._settings = settings
        self._state = EMPTY
        self._logged = EMPTY
        self._is_log_complete = True
        self._read_from = 0
        self._next_read = 0
        self._is_reading = False
        self._log_ok = False
        self._changes: dict[int, _PendingChange] = {}
        self._queries: HostQueries[HostPreset] = HostQueries(core, members, self._answer_query)
        self._rewrite_at = core.clock.now() + settings.rewrite_ms
        core.listen(ReadDone, self._on_read)
        core.listen(Appended, self._on_appended)
        core.listen(PeerPresetSeen, self._on_peer)
        core.listen(FetchPresets, self._on_fetch)
        core.listen(PresetState, self._on_state)
        core.listen(QueryInForce, self._on_query)
        core.listen(InForce, self._on_in_force)
        core.every_tick(self._tick)

    @property
    def state(self) -> PresetState:
        """The state that this host applies."""
        return self._state

    def publish(self, ticket: int, name: str, text: str, author: str, base: int | None) -> None:
        """Publish a preset; the answer for `ticket` is a `ChangeOutcome`."""
        old = find_preset(self._state, name)
        newest = old.offset if old else NO_OFFSET
        nonce = self._core.rng.getrandbits(62)
        record = PublishPreset(name, text, newest if base is None else base, author, nonce)
        self._submit_change(ticket, nonce, record)

    def use(self, ticket: int, name: str, author: str, base: int | None) -> None:
        """Put a preset in force; the answer for `ticket` is a `ChangeOutcome`."""
        nonce = self._core.rng.getrandbits(62)
        expected = self._state.switched_at if base is None else base
        self._submit_change(ticket, nonce, UsePreset(name, expected, author, nonce))

    def query_all_hosts(self, ticket: int) -> None:
        """Query the preset of each host; the answer for `ticket` is a tuple of `HostPreset`."""
        self._queries.send(ticket, QueryInForce)

    def _submit_change(self, ticket: int, nonce: int, record: PublishPreset | UsePreset) -> None:
        if not self._log_ok:
            outcome = ChangeOutcome("not_run", retry_after_ms=_RETRY_AFTER_MS)
            self._core.answer(ticket, outcome)
            return
        deadline = self._core.clock.now() + self._settings.answer_ms
        self._changes[nonce] = _PendingChange(ticket, deadline)
        self._core.emit(Append(STREAM, encode(record)))

    def _tick(self, now: int) -> None:
        if now >= self._next_read:
            self._read(now)
        if now >= self._rewrite_at:
            self._rewrite(now)
        for nonce, change in list(self._changes.items()):
            if now >= change.deadline:
                del self._changes[nonce]
                self._core.answer(change.ticket, ChangeOutcome("unknown"))
        self._queries.close_overdue(now)

    def _read(self, now: int) -> None:
        self._next_read = now + self._settings.read_ms
        if self._is_reading:
            return
        self._is_reading = True
        self._core.emit(Read(STREAM, self._read_from))

    def _rewrite(self, now: int) -> None:
        """Append the full state before its records expire, on one host only."""
        self._rewrite_at = now + self._settings.rewrite_ms
        owner = choose_owner(STREAM, self._members.reachable)
        if owner == self._core.identity.host and self._log_ok and self._state.presets:
            self._core.emit(Append(STREAM, encode(self._state)))

    def _on_appended(self, event: Appended, _source: str) -> None:
        if event.stream == STREAM:
            self._next_read = 0

    def _on_read(self, event: ReadDone, _source: str) -> None:
        if event.stream != STREAM:
            return
        self._is_reading = False
        self._log_ok = event.ok
        if not event.ok:
            return
        if event.first > self._read_from:
            self._logged, self._is_log_complete = EMPTY, False
            self._read_from = event.first
        for offset, raw in event.records:
            self._apply_record(offset, raw)
            self._read_from = offset + 1
        if self._read_from < event.next_offset:
            self._next_read = 0
        else:
            self._is_log_complete = True
        if self._is_log_complete:
            self._adopt_logged()

    def _adopt_logged(self) -> None:
        """Apply the state read from the log, unless the log has lost the newest switch.

        In that case the local state is kept, and the next rewrite restores it in the log.
        """
        if self._logged.switched_at < self._state.switched_at <= self._logged.offset:
            self._core.counters["presets.log_lost_state"] += 1
            self._logged = replace(self._state, offset=self._logged.offset)
        self._adopt(self._logged)

    def _apply_record(self, offset: int, raw: bytes) -> None:
        try:
            record = decode(raw)
        except CodecError as error:
            self._core.counters["presets.undecodable"] += 1
            _LOGGER.warning("ignoring preset record at offset %d: %s", offset, error)
            record = None
        self._logged, valid = apply_record(self._logged, offset, record)
        if isinstance(record, PresetState) and valid:
            self._is_log_complete = True
            self._rewrite_at = self._core.clock.now() + self._settings.rewrite_ms
        if isinstance(record, PublishPreset | UsePreset):
            self._answer_change(record, offset, valid)

    def _answer_change(self, record: PublishPreset | UsePreset, offset: int, valid: bool) -> None:
        change = self._changes.pop(record.nonce, None)
        if change is None:
            return
        outcome = ChangeOutcome("done", switched_at=offset)
        if not valid:
            winner = self._find_winner(record)
            outcome = ChangeOutcome("lost", winner, self._logged.switched_at)
        self._core.answer(change.ticket, outcome)

    def _find_winner(self, record: PublishPreset | UsePreset) -> str:
        if isinstance(record, UsePreset):
            return self._logged.switched_by
        preset = find_preset(self._logged, record.name)
        return preset.author if preset else ""

    def _on_peer(self, event: PeerPresetSeen, _source: str) -> None:
        if event.offset <= self._state.offset:
            return
        if self._log_ok and self._is_log_complete:
            self._next_read = 0
        else:
            self._core.send(event.host, FetchPresets(self._state.offset))

    def _on_fetch(self, fetch: FetchPresets, source: str) -> None:
        if self._state.offset > fetch.offset:
            self._core.send(source, self._state)

    def _on_state(self, state: PresetState, _source: str) -> None:
        self._adopt(state)

    def _adopt(self, state: PresetState) -> None:
        """Apply `state` unless it is older than the current state."""
        before = self._state
        if state.offset <= before.offset:
            return
        if state.switched_at < before.switched_at:
            self._core.counters["presets.outdated_seen"] += 1
            return
        self._core.counters["presets.reverted"] += state.switched_at < before.switched_at
        self._state = state
        self._members.set_preset_offset(state.offset)
        if state.switched_at == before.switched_at:
            return
        try:
            preset = parse_preset(state.text, state.in_force)
        except InvalidInputError as error:
            self._core.counters["presets.unusable"] += 1
            _LOGGER.error("preset %s is invalid: %s", state.in_force, error)
            return
        _LOGGER.info("preset %s is in force since offset %d", state.in_force, state.switched_at)
        self._core.fire(PresetChanged(preset, state.switched_at))

    def _on_query(self, query: QueryInForce, source: str) -> None:
        answer = InForce(query.query, self._state.in_force, self._state.switched_at)
        self._core.send(source, answer)

    def _on_in_force(self, answer: InForce, source: str) -> None:
        preset = HostPreset(source, answer.name, answer.switched_at)
        self._queries.record_answer(answer.query, source, preset)

    def _answer_query(self, ticket: int, answers: dict[str, HostPreset]) -> None:
        missing = HostPreset("", None, NO_OFFSET)
        rows = tuple(
            answers.get(host, replace(missing, host=host)) for host in self._members.reachable
        )
        self._core.answer(ticket, rows)
