"""Errors of presets."""

from ..exceptions import QuetzallockError


class UnknownPresetError(QuetzallockError):
    """No preset of that name has been published."""

    code = "unknown_preset"
