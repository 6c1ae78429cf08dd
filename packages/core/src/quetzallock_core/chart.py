"""State charts that stand in TOML files and are interpreted here."""

import tomllib
from dataclasses import dataclass
from importlib import resources

from .exceptions import Finding, InvalidInputError, UndefinedTransitionError


@dataclass(frozen=True, slots=True)
class Chart:
    """One state chart.

    Attributes:
        name: Name of the chart, for errors.
        initial: State of a new instance.
        final: States that no event leaves.
        transitions: Next state by state and event.
    """

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str:
        """Return the state that `event` leads to from `state`.

        Raises:
            UndefinedTransitionError: The chart has no such transition.
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise UndefinedTransitionError(f"{self.name}: no {event!r} in state {state!r}")
        return target

    def allows(self, state: str, event: str) -> bool:
        """Tell whether `event` is defined in `state`."""
        return (state, event) in self.transitions


def parse_chart(name: str, text: str) -> Chart:
    """Return the chart in `text`, a TOML document with a table for each state.

    Raises:
        InvalidInputError: A transition leads to, or a final entry names, an unknown state.
    """
    document = tomllib.loads(text)
    states = document["states"]
    findings = [
        Finding(f"{name}.toml: states.{state}.{event}", f"{target!r} is not a state")
        for state, events in states.items()
        for event, target in events.items()
        if target not in states
    ]
    if document["initial"] not in states:
        findings.append(Finding(f"{name}.toml: initial", "is not a state"))
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
    """Return the chart in the file `name`.toml of `package`."""
    text = resources.files(package).joinpath(f"{name}.toml").read_text(encoding="utf-8")
    return parse_chart(name, text)
