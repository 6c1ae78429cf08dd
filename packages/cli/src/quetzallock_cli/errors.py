"""Errors that end a command: code, cause, what to do."""

from dataclasses import dataclass, field


@dataclass
class CommandError(Exception):
    """A command failed.

    Attributes:
        code: Stable identifier for scripts.
        cause: One sentence on what went wrong.
        hint: One sentence on what to do.
        exit_code: Exit code of the process.
        findings: Places and reasons, a line each.
    """

    code: str
    cause: str
    hint: str
    exit_code: int
    findings: list[str] = field(default_factory=list)
