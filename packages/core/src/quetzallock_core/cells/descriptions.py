"""Short descriptions of steps and resources for the log."""

from .models import Resources, StepSpec


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
