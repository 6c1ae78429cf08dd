"""Formats answers as text that fits the width of a phone screen."""

from typing import Any


def describe_job(body: dict[str, Any]) -> str:
    """Return a line with the outcome of a call for a job and its tasks by state."""
    tasks = ", ".join(f"{count} {state}" for state, count in body["tasks"].items())
    return f"{body['job']} {body['outcome']}: {tasks}"


def describe_presets(body: dict[str, Any]) -> str:
    """Return a line for each published preset; a star marks the one in force."""
    lines = []
    for preset in body["presets"]:
        mark = "*" if preset["name"] == body["in_force"] else " "
        lines.append(f"{mark} {preset['name']} at {preset['offset']} by {preset['author']}")
    return "\n".join(lines) or "no preset has been published"


def describe_in_force(body: dict[str, Any]) -> str:
    """Return on how many hosts the preset is in force, and a line for each other host."""
    rows = body["hosts"]
    switched = [row for row in rows if row["switched_at"] == body["switched_at"]]
    lines = [f"{body['in_force'] or 'no preset'} in force on {len(switched)} of {len(rows)} hosts"]
    for row in rows:
        if row["preset"] is None:
            lines.append(f"missing {row['host']}: no answer")
        elif row not in switched:
            lines.append(f"missing {row['host']}: uses {row['preset'] or 'none'}")
    return "\n".join(lines)


def describe_members(body: dict[str, Any]) -> str:
    """Return a line for each entry host, then the leases and shards of the host that answered."""
    lines = [f"{row['host']} in {row['data_centre']}" for row in body["hosts"]]
    leased_count = sum(row["lease"] == "held" for row in body["workers"])
    lines.append(f"holds {leased_count} workers, shards {body['shards']}")
    return "\n".join(lines)
