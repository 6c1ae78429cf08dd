"""Runs the measurements and renders them as a table with slopes."""

import json
from collections.abc import Iterable
from pathlib import Path

from .measures import MEASURES
from .models import Series
from .processes import measure_base


def render_table(series: Iterable[Series]) -> str:
    """Return a Markdown table of each series with its points, slope and base."""
    lines = [
        "| role | quantity | by | measured | slope | base |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for entry in series:
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in entry.points)
        lines.append(
            f"| {entry.role} | {entry.quantity} | {entry.size_name} | {points}"
            f" | {entry.slope:.4g} | {entry.base:.4g} |"
        )
    return "\n".join(lines)


def run_capacity(out: Path, with_processes: bool) -> str:
    """Run all measurements, save them as JSON in `out` and return the table."""
    series: list[Series] = []
    for name in MEASURES:
        series += MEASURES.get(name)()
    if with_processes:
        series += measure_base()
    out.mkdir(parents=True, exist_ok=True)
    raw = [
        {"role": entry.role, "quantity": entry.quantity, "points": entry.points} for entry in series
    ]
    (out / "capacity.json").write_text(json.dumps(raw, indent=1), encoding="utf-8")
    return render_table(series)
