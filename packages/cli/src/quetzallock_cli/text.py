"""Answers as text, narrow enough for a phone."""

from typing import Any


def describe_job(body: dict[str, Any]) -> str:
    """Return a line on a job."""
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
    """Return where the preset is in force, and which hosts are missing."""
    rows = body["hosts"]
    acting = [row for row in rows if row["switched_at"] == body["switched_at"]]
    lines = [f"{body['in_force'] or 'no preset'} in force on {len(acting)} of {len(rows)} hosts"]
    for row in rows:
        if row["preset"] is None:
            lines.append(f"missing {row['host']}: no answer")
        elif row not in acting:
            lines.append(f"missing {row['host']}: acts on {row['preset'] or 'none'}")
    return "\n".join(lines)


def describe_members(body: dict[str, Any]) -> str:
    """Return a line for each entry host, then what the one asked holds."""
    lines = [f"{row['host']} in {row['data_centre']}" for row in body["hosts"]]
    held = sum(row["lease"] == "held" for row in body["workers"])
    lines.append(f"holds {held} workers, shards {body['shards']}")
    return "\n".join(lines)
