"""Builds the preset state from the stream: of competing changes, the first in the log wins."""

from dataclasses import replace

from ..const import NO_OFFSET
from .models import PresetState, PublishedPreset, PublishPreset, UsePreset

EMPTY = PresetState(NO_OFFSET)


def find_preset(state: PresetState, name: str) -> PublishedPreset | None:
    """Return the published preset `name`, or None."""
    return next((preset for preset in state.presets if preset.name == name), None)


def apply_record(state: PresetState, offset: int, record: object) -> tuple[PresetState, bool]:
    """Return the state after `record` at `offset`, and whether the record is valid."""
    if offset <= state.offset:
        return state, False
    advanced = replace(state, offset=offset)
    if isinstance(record, PublishPreset):
        return _publish(advanced, offset, record)
    if isinstance(record, UsePreset):
        return _use(advanced, offset, record)
    if isinstance(record, PresetState):
        return _rewrite(state, advanced, offset, record)
    return advanced, False


def _publish(state: PresetState, offset: int, record: PublishPreset) -> tuple[PresetState, bool]:
    old = find_preset(state, record.name)
    if record.base != (old.offset if old else NO_OFFSET):
        return state, False
    others = tuple(preset for preset in state.presets if preset.name != record.name)
    new = PublishedPreset(record.name, record.text, offset, record.author)
    return replace(state, presets=(*others, new)), True


def _use(state: PresetState, offset: int, record: UsePreset) -> tuple[PresetState, bool]:
    preset = find_preset(state, record.name)
    if preset is None or record.base != state.switched_at:
        return state, False
    switched = replace(
        state,
        in_force=preset.name,
        text=preset.text,
        switched_at=offset,
        switched_by=record.author,
    )
    return switched, True


def _rewrite(
    old: PresetState, advanced: PresetState, offset: int, record: PresetState
) -> tuple[PresetState, bool]:
    """Restore a rewritten state; ignore one that does not include all earlier records."""
    if record.offset < old.offset:
        return advanced, False
    return replace(record, offset=offset), True
