"""The preset stream as a state: order decides, the first valid change wins."""

from dataclasses import replace

from ..const import NO_OFFSET
from .models import PresetState, PublishedPreset, PublishPreset, UsePreset

EMPTY = PresetState(NO_OFFSET)


def find_preset(state: PresetState, name: str) -> PublishedPreset | None:
    """Return the published preset `name`, or None."""
    return next((preset for preset in state.presets if preset.name == name), None)


def apply_record(state: PresetState, offset: int, record: object) -> tuple[PresetState, bool]:
    """Return the state after `record` at `offset`, and whether the record was valid."""
    if offset <= state.offset:
        return state, False
    moved = replace(state, offset=offset)
    if isinstance(record, PublishPreset):
        return _publish(moved, offset, record)
    if isinstance(record, UsePreset):
        return _use(moved, offset, record)
    if isinstance(record, PresetState):
        return _rewrite(state, moved, offset, record)
    return moved, False


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
    old: PresetState, moved: PresetState, offset: int, record: PresetState
) -> tuple[PresetState, bool]:
    """Take over a rewritten state; one that misses a valid change says nothing."""
    if record.offset < old.offset:
        return moved, False
    return replace(record, offset=offset), True
