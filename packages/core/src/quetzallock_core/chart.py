"""Loads and interprets state charts, which are defined in TOML files."""

import tomllib
from dataclasses import dataclass
from importlib import resources

from .exceptions import Finding, InvalidInputError, UndefinedTransitionError


@dataclass(frozen=True, slots=True)
class Chart:
    """One state chart.

    Attributes:
        name: Name of the chart, used in error messages.
        initial: Initial state.
        final: States without outgoing transitions.
        transitions: Next state, by current state and event.
    """

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str:
        """Return the state that follows `state` on `event`.

        Raises:
            UndefinedTransitionError: The chart has no such transition.
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise UndefinedTransitionError(
                f"{self.name}: event {event!r} is not defined in state {state!r}"
            )
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether `event` is defined in `state`."""
        return (state, event) in self.transitions


def parse_chart(name: str, text: str) -> Chart:
    """Parse the chart in `text`, a TOML document with one table for each state.

    Raises:
        InvalidInputError: A transition or the initial state names an unknown state.
    """
    document = tomllib.loads(text)
    states = document["states"]
    findings = [
        Finding(f"{name}.toml: states.{state}.{event}", f"{target!r} is not a defined state")
        for state, events in states.items()
        for event, target in events.items()
        if target not in states
    ]
    if document["initial"] not in states:
        findings.append(Finding(f"{name}.toml: initial", "is not a defined state"))
    if findings:
        raise InvalidInputError(findings)
    transitions = {
        (state, event): target
        for state, events in states.items()
        for event, target in events.items()
    }
    final = frozenset(state for state, events in states.items() if not events)
    return Chart(name, document["initial"], final, transitions)


def load_chart(package: str, name: str) -> Chart:
    """Load the chart in the file `name`.toml of `package`."""
    text = resources.files(package).joinpath(f"{name}.toml").read_text(encoding="utf-8")
    return parse_chart(name, text)
