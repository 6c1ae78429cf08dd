"""What the tasks of a submitted job do, and what the ground truth has to know of them."""

from collections.abc import Iterator, Mapping

from quetzallock_core.cells.models import JobSpec

from .ground_truth import GroundTruth
from .workers import TaskBehaviour


def make_behaviours(
    spec: JobSpec, durations: Mapping[int, float | None], fields: Mapping[str, bool]
) -> dict[str, TaskBehaviour]:
    """Return the behaviour of each task by its name.

    Args:
        spec: The job.
        durations: Real duration in ms of the tasks by step, None if they run until stopped.
        fields: Further fields of all behaviours.
    """
    behaviours: dict[str, TaskBehaviour] = {}
    for occurrence, number in _list_steps(spec):
        step = spec.steps[number]
        behaviour = TaskBehaviour(
            step.needs,
            durations[number],
            is_best_effort=step.fills,
            is_gang=step.gang,
            image=step.image,
            target_ms=step.target_ms,
            **fields,
        )
        behaviours |= dict.fromkeys(_name_tasks(spec, occurrence, number), behaviour)
    return behaviours


def declare_tasks(ground_truth: GroundTruth, spec: JobSpec, max_attempts: int) -> None:
    """Tell the ground truth which starts of the job's tasks break a promise."""
    for occurrence, number in _list_steps(spec):
        step = spec.steps[number]
        names = _name_tasks(spec, occurrence, number)
        predecessors = tuple(
            name for previous in step.after for name in _name_tasks(spec, occurrence, previous)
        )
        ground_truth.predecessors |= dict.fromkeys(names, predecessors)
        if step.speculative:
            ground_truth.speculative.update(names)
        if not step.lasting:
            ground_truth.max_attempts |= dict.fromkeys(names, max_attempts)


def _list_steps(spec: JobSpec) -> Iterator[tuple[int, int]]:
    """Return the occurrence and the number of each step."""
    for occurrence in range(max(1, spec.repetitions)):
        for number in range(len(spec.steps)):
            yield occurrence, number


def _name_tasks(spec: JobSpec, occurrence: int, number: int) -> list[str]:
    count = spec.steps[number].count
    return [f"{spec.job}.{occurrence}.{number}.{index}" for index in range(count)]
