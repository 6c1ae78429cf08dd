"""The error that ends a command."""

from dataclasses import dataclass, field


@dataclass
class CommandError(Exception):
    """A command failed.

    Attributes:
        code: Stable identifier for scripts.
        cause: One sentence on what went wrong.
        hint: One sentence on what to do.
        exit_code: Exit code of the process.
        findings: A line for each invalid place of the input, with the reason.
    """

    code: str
    cause: str
    hint: str
    exit_code: int
    findings: list[str] = field(default_factory=list)
