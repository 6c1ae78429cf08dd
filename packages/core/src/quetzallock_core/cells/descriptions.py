"""Short descriptions of steps and resources for the log."""

from .models import QueuePolicy, Resources, StepSpec


def describe_step(step: StepSpec) -> str:
    """Return a short description of a step for the log."""
    marks = [
        name
        for name in ("saves", "gang", "speculative", "lasting", "fills", "one_rack")
        if getattr(step, name)
    ]
    size = f"{step.count}x{describe_resources(step.needs)}"
    return " ".join([size, f"{step.estimate_ms}ms", f"after{list(step.after)}", *marks])


def describe_resources(resources: Resources) -> str:
    """Return processor, memory in MB and accelerators for the log."""
    return f"{resources.cpu}/{resources.memory_mb}/{resources.gpus}"


def describe_kind(spec: StepSpec, policy: QueuePolicy) -> str:
    """Return the kind of a step by which waits are counted.

    Returns:
        `lasting`, `best_effort`, or the priority of the queue for all others: `priority_0` is the
        most urgent.
    """
    if spec.lasting:
        return "lasting"
    return "best_effort" if spec.fills else f"priority_{policy.priority}"
