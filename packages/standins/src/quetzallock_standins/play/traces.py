"""Makes traces from a seed and keeps them in files (msgpack, see `models.Trace`)."""

from pathlib import Path
from random import Random
from typing import Final

from quetzallock_core.codec import decode, encode

from ..deployment import Deployment
from .models import Trace, TracedCall, TracedJob

_BASE_RATE: Final = 60
_CREST_FACTOR: Final = 4
_SHORT_MS: Final = (5, 40)
_LONG_MS: Final = (300, 700)
_DEADLINE_MS: Final = 1_000
_ORDER_SHARE: Final = 0.25
_LONG_SHARE: Final = 0.03
_JOBS_PER_S: Final = 1.2
_TASK_MS: Final = (1_000, 4_000)
_STRAGGLER_SHARE: Final = 0.02
_CANCEL_SHARE: Final = 0.05


def make_trace(deployment: Deployment, seed: int, duration_ms: int) -> Trace:
    """Return a trace with one crest of demand in its second half."""
    rng = Random(seed)
    calls = _make_calls(rng, duration_ms)
    jobs = _make_jobs(rng, deployment, duration_ms)
    return Trace(deployment.name, seed, duration_ms, calls, jobs)


def _make_calls(rng: Random, duration_ms: int) -> tuple[TracedCall, ...]:
    calls: list[TracedCall] = []
    at = 0.0
    while at < duration_ms:
        in_crest = 0.55 <= at / duration_ms < 0.75
        rate = _BASE_RATE * (_CREST_FACTOR if in_crest else 1)
        at += rng.expovariate(rate) * 1_000
        is_long = rng.random() < _LONG_SHARE
        is_order = rng.random() < _ORDER_SHARE
        calls.append(
            TracedCall(
                int(at),
                f"call-{len(calls)}",
                "report" if is_long else "order" if is_order else "stock",
                is_long or not is_order,
                rng.randint(*(_LONG_MS if is_long else _SHORT_MS)),
                4 * _DEADLINE_MS if is_long else _DEADLINE_MS,
            )
        )
    return tuple(calls)


def _make_jobs(rng: Random, deployment: Deployment, duration_ms: int) -> tuple[TracedJob, ...]:
    jobs: list[TracedJob] = []
    at = 0.0
    while True:
        at += rng.expovariate(_JOBS_PER_S) * 1_000
        if at > duration_ms * 0.8:
            return tuple(jobs)
        is_straggler = rng.random() < _STRAGGLER_SHARE
        run_ms = rng.randint(*_TASK_MS) * (5 if is_straggler else 1)
        is_cancelled = rng.random() < _CANCEL_SHARE
        jobs.append(
            TracedJob(
                int(at),
                f"{deployment.name}-{len(jobs)}",
                rng.choice(("runs", "cold-rooms", "audits")),
                rng.randint(1, 6),
                rng.choice((500, 1_000, 2_000)),
                rng.choice((500, 2_000, 4_000)),
                run_ms,
                int(at) + rng.randint(200, 2_000) if is_cancelled else 0,
            )
        )


def save_trace(path: Path, trace: Trace) -> None:
    """Write a trace to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(encode(trace))


def load_trace(path: Path) -> Trace:
    """Return the trace in a file."""
    trace = decode(path.read_bytes())
    if not isinstance(trace, Trace):
        raise ValueError(f"{path} holds no trace")
    return trace
