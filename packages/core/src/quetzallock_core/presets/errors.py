"""Errors about presets that are returned to operators."""

from ..exceptions import Finding, QuetzallockError


class UnknownPresetError(QuetzallockError):
    """No preset with this name has been published."""

    code = "unknown_preset"

    def __init__(self, name: str) -> None:
        finding = Finding("path", f"{name!r} has not been published")
        super().__init__("no such preset", findings=[finding])


class LostRaceError(QuetzallockError):
    """Another operator's change was recorded first."""

    code = "lost_race"

    def __init__(self, winner: str, switched_at: int) -> None:
        cause = f"another change, by {winner or 'an unknown author'}, came first"
        finding = Finding("base", f"the newest change is at offset {switched_at}")
        super().__init__(cause, findings=[finding])
