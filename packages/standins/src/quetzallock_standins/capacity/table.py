"""Prints the measured series with their slopes."""

import json
from collections.abc import Iterable
from pathlib import Path

from .measures import MEASURES
from .models import Series
from .processes import measure_base


def render_table(series: Iterable[Series]) -> str:
    """Return a table in Markdown: each series with its points, slope and base."""
    lines = [
        "| role | quantity | by | measured | slope | base |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for one in series:
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in one.points)
        lines.append(
            f"| {one.role} | {one.quantity} | {one.size_name} | {points}"
            f" | {one.slope:.4g} | {one.base:.4g} |"
        )
    return "\n".join(lines)


def run_capacity(out: Path, with_processes: bool) -> str:
    """Run all measurements, keep them in a file, and return the table."""
    series: list[Series] = []
    for name in MEASURES:
        series += MEASURES.get(name)()
    if with_processes:
        series += measure_base()
    out.mkdir(parents=True, exist_ok=True)
    raw = [{"role": one.role, "quantity": one.quantity, "points": one.points} for one in series]
    (out / "capacity.json").write_text(json.dumps(raw, indent=1), encoding="utf-8")
    return render_table(series)
