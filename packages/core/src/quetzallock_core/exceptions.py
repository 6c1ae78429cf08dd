"""Errors with codes, and findings that are collected and reported together."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault found in an input.

    Attributes:
        place: Where it is, such as `aveia.toml: listen.port`.
        reason: What is wrong there.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


class QuetzallockError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: Stable identifier for programs.
        cause: One sentence on what went wrong.
        hint: One sentence on what to do.
        findings: Places and reasons, where the error lies in an input.
    """

    code = "internal"

    def __init__(self, cause: str, hint: str = "", findings: Sequence[Finding] = ()) -> None:
        super().__init__(cause)
        self.cause = cause
        self.hint = hint
        self.findings = tuple(findings)


class InvalidInputError(QuetzallockError):
    """An input has one or more findings."""

    code = "invalid_input"

    def __init__(self, findings: Sequence[Finding]) -> None:
        cause = "; ".join(map(str, findings))
        super().__init__(cause, "correct the places named and try again", findings)


class UndefinedTransitionError(QuetzallockError):
    """A state chart has no transition for an event in a state."""

    code = "undefined_transition"


class CodecError(QuetzallockError):
    """Bytes from a peer or from the log cannot be decoded."""

    code = "undecodable"
