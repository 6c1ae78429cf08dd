"""What is left of jobs: computed once for all steps of a job, as a job may have thousands.

The order of steps needs sums over all steps of a job for each of its open steps.
"""

from typing import Final, NamedTuple

from .durations import DurationEstimates
from .jobs import Occurrence, StepRun

STEPS_PER_MS: Final = 8
"""Steps for each ms that an outlook stays valid. That keeps what the outlooks of large jobs cost to
a few percent of the time, however often steps are placed."""


class Outlook(NamedTuple):
    """What is left of one repetition of a job.

    Attributes:
        total_ms: Sum of the expected durations of all steps.
        chain_ms: Time that the longest chain of unfinished steps takes.
        work_core_ms: What the unfinished tasks still need.
    """

    total_ms: float
    chain_ms: float
    work_core_ms: float


def compute_outlook(occurrence: Occurrence, durations: DurationEstimates) -> Outlook:
    """Return what is left of `occurrence`."""
    total_ms = 0.0
    work_core_ms = 0.0
    chain_ms: list[float] = []
    for step in occurrence.steps:
        expected_ms = durations.expect(step)
        total_ms += expected_ms
        unfinished = len(step.tasks) - step.done
        work_core_ms += unfinished * step.spec.needs.cpu / 1_000 * expected_ms
        start_ms = max((chain_ms[number] for number in step.spec.after), default=0.0)
        chain_ms.append(start_ms + (expected_ms if unfinished else 0.0))
    return Outlook(total_ms, max(chain_ms, default=0.0), work_core_ms)


class Outlooks:
    """The outlooks of the jobs of a cell; those of large jobs are kept for some rounds."""

    def __init__(self, durations: DurationEstimates) -> None:
        self.durations = durations
        self._now = 0
        self._outlooks: dict[Occurrence, tuple[int, Outlook]] = {}

    def begin_round(self, now: int) -> None:
        """Drop the outlooks that are outdated at the local ms `now`."""
        self._now = now
        self._outlooks = {
            occurrence: item for occurrence, item in self._outlooks.items() if now < item[0]
        }

    def get(self, step: StepRun) -> Outlook:
        """Return the outlook of the repetition that `step` belongs to."""
        occurrence = step.job.occurrences[step.occurrence]
        known = self._outlooks.get(occurrence)
        if known is not None:
            return known[1]
        outlook = compute_outlook(occurrence, self.durations)
        valid_until = self._now + len(occurrence.steps) // STEPS_PER_MS
        self._outlooks[occurrence] = valid_until, outlook
        return outlook
