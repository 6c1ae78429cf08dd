"""The commands: each method is one, and its docstring and parameters are its help."""

import getpass
import json
import os
from pathlib import Path
from typing import Any, NoReturn

from quetzallock_core.exceptions import Finding, InvalidInputError
from quetzallock_core.presets.schema import parse_preset

from .client import Client
from .const import DEFAULT_HOST, EXIT_INPUT, HOST_VARIABLE
from .errors import CommandError
from .text import describe_in_force, describe_job, describe_members, describe_presets


class Commands:
    """Operate quetzallock through any of its entry hosts.

    Options before a command: --host for the URL of an entry host (or QUETZALLOCK_HOST), --json for
    output that scripts can read.
    """

    def __init__(self, host: str = "", json: bool = False) -> None:
        self._client = Client(host or os.environ.get(HOST_VARIABLE, DEFAULT_HOST))
        self._json = json
        self.job = JobCommands(self._client, json)
        self.preset = PresetCommands(self._client, json)
        self.check = CheckCommands(json)

    def report(self) -> str:
        """Show in 12 lines whether the promises are kept, with the main metrics."""
        body = self._client.call("GET", "/v1/report")
        return format_answer(body, body["text"], self._json)

    def members(self) -> str:
        """Show the entry hosts, and the leases and shards of the host that answers."""
        body = self._client.call("GET", "/v1/members")
        return format_answer(body, describe_members(body), self._json)


class JobCommands:
    """Submit, show and cancel jobs."""

    def __init__(self, client: Client, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def submit(
        self,
        team: str,
        cpu_milli: int,
        memory_mb: int,
        run_ms: int,
        job: str = "",
        tasks: int = 1,
        accelerators: int = 0,
        urgent: bool = False,
    ) -> str:
        """Submit a job; if the outcome is unknown, repeat it with the same --job."""
        body: dict[str, Any] = {
            "team": str(team),
            "cpu_milli": cpu_milli,
            "memory_mb": memory_mb,
            "run_ms": run_ms,
            "tasks": tasks,
            "accelerators": accelerators,
            "urgent": urgent,
        }
        if job:
            body["job"] = str(job)
        answer = self._client.call_json("POST", "/v1/jobs", body)
        return format_answer(answer, describe_job(answer), self._json)

    def show(self, job: str) -> str:
        """Show the progress of a job."""
        answer = self._client.call("GET", f"/v1/jobs/{job}")
        return format_answer(answer, describe_job(answer), self._json)

    def cancel(self, job: str) -> str:
        """Cancel a job; tasks that have finished stay finished."""
        answer = self._client.call("DELETE", f"/v1/jobs/{job}")
        return format_answer(answer, describe_job(answer), self._json)


class PresetCommands:
    """Publish presets, put one in force, show where it is in force."""

    def __init__(self, client: Client, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def list(self) -> str:
        """List the published presets; a star marks the one in force."""
        body = self._client.call("GET", "/v1/presets")
        return format_answer(body, describe_presets(body), self._json)

    def publish(self, file: str, author: str = "") -> str:
        """Publish the preset in FILE under the name given in the file."""
        text = read_file(file)
        preset = check_preset(text, file)
        headers = {"Author": author or getpass.getuser()}
        path = f"/v1/presets/{preset.name}"
        body = self._client.call("PUT", path, text.encode(), headers)
        return format_answer(body, f"published {preset.name} at {body['switched_at']}", self._json)

    def use(self, name: str, base: int | None = None, author: str = "") -> str:
        """Put a published preset in force; with --base, only if BASE is the last switch."""
        change: dict[str, Any] = {"author": author or getpass.getuser()}
        if base is not None:
            change["base"] = base
        body = self._client.call_json("POST", f"/v1/presets/{name}/use", change)
        return format_answer(body, f"{name} is in force since {body['switched_at']}", self._json)

    def where(self) -> str:
        """Show on how many hosts the preset is in force, and name the other hosts."""
        body = self._client.call("GET", "/v1/presets-in-force")
        return format_answer(body, describe_in_force(body), self._json)


class CheckCommands:
    """Check files without running anything."""

    def __init__(self, as_json: bool) -> None:
        self._json = as_json

    def settings(self, file: str) -> str:
        """Check a settings file of quetzallockd."""
        from quetzallock_daemon.settings import parse_settings

        try:
            parse_settings(read_file(file), file)
        except InvalidInputError as error:
            raise_input_error(error)
        return format_answer({"file": file, "valid": True}, f"{file} is valid", self._json)

    def preset(self, file: str) -> str:
        """Check a preset file."""
        preset = check_preset(read_file(file), file)
        answer = {"file": file, "valid": True, "name": preset.name}
        return format_answer(answer, f"{file} is valid: preset {preset.name}", self._json)


def format_answer(body: Any, text: str, as_json: bool) -> str:
    """Return the answer as JSON or as text."""
    return json.dumps(body) if as_json else text


def read_file(path: str) -> str:
    """Return the text of a file.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return raise_input_error(InvalidInputError([Finding(path, f"cannot be read: {error}")]))


def check_preset(text: str, source: str) -> Any:
    """Return the preset in `text`.

    Raises:
        CommandError: The preset is invalid.
    """
    try:
        return parse_preset(text, source)
    except InvalidInputError as error:
        raise_input_error(error)


def raise_input_error(error: InvalidInputError) -> NoReturn:
    """Raise a `CommandError` for invalid input."""
    findings = [str(finding) for finding in error.findings]
    raise CommandError(error.code, "the input is not valid", error.hint, EXIT_INPUT, findings)
