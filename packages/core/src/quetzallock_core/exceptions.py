"""Errors with codes, and findings that are collected and reported together."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One error found in an input.

    Attributes:
        place: Location of the error, such as `aveia.toml: listen.port`.
        reason: Description of the error.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


class QuetzallockError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: Stable identifier for programs.
        cause: What went wrong, in one sentence.
        hint: How to correct it, in one sentence.
        findings: All errors found, if an input is invalid.
    """

    code = "internal"

    def __init__(self, cause: str, hint: str = "", findings: Sequence[Finding] = ()) -> None:
        super().__init__(cause)
        self.cause = cause
        self.hint = hint
        self.findings = tuple(findings)


class InvalidInputError(QuetzallockError):
    """An input contains one or more errors."""

    code = "invalid_input"

    def __init__(self, findings: Sequence[Finding]) -> None:
        cause = "; ".join(map(str, findings))
        super().__init__(cause, "correct the places named and try again", findings)


class UndefinedTransitionError(QuetzallockError):
    """A state chart has no transition for an event in a state."""

    code = "undefined_transition"


class CodecError(QuetzallockError):
    """Data cannot be encoded for, or decoded from, a peer or the log."""

    code = "undecodable"
