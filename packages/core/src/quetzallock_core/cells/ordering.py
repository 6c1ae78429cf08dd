"""Order in which steps with waiting tasks are placed; each policy names the load it is for."""

from collections.abc import Callable
from typing import Final

from ..registry import Registry
from .jobs import StepRun
from .outlooks import Outlook, Outlooks

OrderKey = tuple[float, ...]
OrderPolicy = Callable[[StepRun, Outlooks, int], OrderKey]

CLASS_FIELDS: Final = 2
"""Leading fields of a key that hold lateness and priority. Steps that agree in them compete for
capacity, and their queues share it by weight."""

ORDERS: Final[Registry[OrderPolicy]] = Registry("order of steps")

LATE_FACTOR: Final = 3.0
"""A job that ends within this multiple of its objective still has some value."""

BASE_VALUE_SHARE: Final = 0.3
"""Share of a job's value that does not depend on its size."""


def compute_objective(step: StepRun, outlook: Outlook) -> float:
    """Return the ms from acceptance within which the step's job should complete."""
    policy = step.job.policy
    return outlook.total_ms * policy.slack_factor + policy.target_ms


@ORDERS.register("arrival")
def order_by_arrival(step: StepRun, _outlooks: Outlooks, _now: int) -> OrderKey:
    """Place by priority, then first come, first served: for loads at which no task waits long."""
    return (0, step.job.policy.priority, step.ready_at)


@ORDERS.register("slack")
def order_by_slack(step: StepRun, outlooks: Outlooks, now: int) -> OrderKey:
    """Place jobs that can still be in time first, by priority and slack: for demand above capacity.

    Lasting tasks come before all others, since they have value all the time they run, and those
    that were interrupted come first, as their users notice each second without them. Jobs past
    their objective come after the others, and those past the late bound last; all are completed.
    """
    if step.spec.lasting:
        return (-2 if step.has_interrupted_task else -1, 0, step.ready_at)
    objective = compute_objective(step, outlooks.get(step))
    age = now - step.job.accepted_at
    lateness = 0 if age <= objective else 1 if age <= LATE_FACTOR * objective else 2
    return (lateness, step.job.policy.priority, objective - age)


@ORDERS.register("density")
def order_by_density(step: StepRun, outlooks: Outlooks, now: int) -> OrderKey:
    """Place the jobs of the highest value density first: for demand far above capacity.

    Where not all jobs can be in time, those with the smallest slack would take the capacity of many
    that still can. So jobs that will be late come after the others, and within the same lateness
    and priority the jobs with the highest value for each core-second still needed come first.
    """
    if step.spec.lasting:
        return (-2 if step.has_interrupted_task else -1, 0, step.ready_at)
    outlook = outlooks.get(step)
    objective = compute_objective(step, outlook)
    age_at_end = now - step.job.accepted_at + outlook.chain_ms
    lateness = 0 if age_at_end <= objective else 1 if age_at_end <= LATE_FACTOR * objective else 2
    mean_work = outlooks.durations.get_mean_work(step.job.policy.queue)
    value = (
        BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * step.job.work / mean_work if mean_work else 1.0
    )
    return (lateness, step.job.policy.priority, outlook.work_core_ms / value, step.ready_at)
