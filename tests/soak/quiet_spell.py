"""A span in the middle of a long course in which no fault begins and callers cancel jobs."""

from collections.abc import Sequence
from typing import Final

from quetzallock_daemon.helpers import sleep

from .callers import Caller
from .deployment import SoakDeployment, now_ms
from .fault_log import Span

QUIET_SPELL_MS: Final = 16_000
"""Long enough for the last fault to end, `CONTACT_MS` after it, and the bound of a cancellation."""
MIN_QUIET_COURSE_S: Final = 40
"""Shorter courses have no quiet spell."""
CANCEL_PAUSE_MS: Final = 100


def choose_quiet_spell(began_at: float, seconds: float) -> Span:
    """Return the span in the middle of a course in which no fault begins; empty if it is short."""
    middle = began_at + seconds * 1_000 / 2
    return (middle, middle + (QUIET_SPELL_MS if seconds >= MIN_QUIET_COURSE_S else 0))


async def cancel_lasting_jobs(
    deployment: SoakDeployment, callers: Sequence[Caller], quiet: Span
) -> None:
    """Cancel the lasting jobs when a quiet spell begins; they would fill the workers otherwise."""
    begin, end = quiet
    if begin == end:
        return
    await sleep(deployment.reactor, max(0, int(begin - now_ms())))
    for caller in callers:
        for job in list(caller.jobs):
            if job.kind == "lasting" and job.accepted_at is not None and not job.cancel_sent:
                await caller.cancel(job)
                await sleep(deployment.reactor, CANCEL_PAUSE_MS)
