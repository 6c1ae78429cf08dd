"""The registry of the measurements."""

from collections.abc import Callable

from quetzallock_core.registry import Registry

from ..models import Series

Measure = Callable[[], list[Series]]
MEASURES: Registry[Measure] = Registry("measure")
