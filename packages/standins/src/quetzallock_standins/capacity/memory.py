"""Measures the memory that Python objects take."""

import gc
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


def measure_memory(build: Callable[[], T]) -> tuple[T, float]:
    """Return the result of `build`, and the memory in KB that it allocated and did not free."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return result, used_bytes / 1e3
