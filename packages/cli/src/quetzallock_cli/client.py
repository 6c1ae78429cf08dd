"""Calls the daemon's HTTP interface."""

import json
import urllib.error
import urllib.request
from typing import Any

from .const import EXIT_FAILED, EXIT_INPUT, EXIT_NOT_RUN, EXIT_UNKNOWN, TIMEOUT_S
from .errors import CommandError

_HINTS = {
    "lost_race": "look at the preset in force, then decide again",
    "unknown_preset": "publish it first",
    "unknown_job": "check the id",
    "job_conflict": "choose another id",
    "invalid_input": "correct the places named and try again",
}


class Client:
    """One entry host, or the balancer in front of them."""

    def __init__(self, base: str) -> None:
        self._base = base.rstrip("/")

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the JSON body of a successful answer.

        Raises:
            CommandError: The daemon cannot be reached, or answered with an error.
        """
        request = urllib.request.Request(f"{self._base}{path}", body, headers or {}, method=method)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as error:
            raise _read_error(error) from None
        except ValueError as error:
            raise CommandError("unreadable", str(error), "check --host", EXIT_FAILED) from None
        except OSError as error:
            reason = getattr(error, "reason", error)
            hint = "check --host, or try another entry host"
            cause = f"{self._base} cannot be reached: {reason}"
            raise CommandError("unreachable", cause, hint, EXIT_FAILED) from None

    def call_json(self, method: str, path: str, body: object) -> Any:
        """Send a JSON body and return the JSON body of the answer."""
        return self.call(method, path, json.dumps(body).encode())


def _read_error(error: urllib.error.HTTPError) -> CommandError:
    try:
        body = json.loads(error.read())
    except ValueError:
        body = {}
    code = body.get("code", f"http_{error.code}")
    outcome = body.get("outcome", "unknown")
    findings = [f"{one['place']}: {one['reason']}" for one in body.get("findings", [])]
    hint = _HINTS.get(code, "")
    exit_code = EXIT_INPUT
    if error.code >= 500:
        exit_code = EXIT_NOT_RUN if outcome == "not_run" else EXIT_UNKNOWN
        wait_s = body.get("retry_after_ms", 1_000) / 1_000
        hint = f"it was not run; come back in {wait_s:g} s"
        if outcome != "not_run":
            hint = "it may have been run; repeat it with the same id, or show it"
    return CommandError(code, body.get("cause", str(error)), hint, exit_code, findings)
