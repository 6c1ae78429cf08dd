"""Client of the daemon's HTTP interface."""

import json
import urllib.error
import urllib.request
from typing import Any

from .const import CALL_TIMEOUT_S, EXIT_FAILED, EXIT_INPUT, EXIT_NOT_RUN, EXIT_UNKNOWN
from .errors import CommandError

_HINTS = {
    "lost_race": "check which preset is in force, then try again",
    "unknown_preset": "publish the preset first",
    "unknown_job": "check the id",
    "job_conflict": "choose another job id",
    "invalid_input": "correct the places named and try again",
}


class Client:
    """Calls one entry host, or a load balancer in front of several."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the JSON body of a successful answer.

        Raises:
            CommandError: The daemon is unreachable, or its answer is an error or not JSON.
        """
        request = urllib.request.Request(
            f"{self._base_url}{path}", body, headers or {}, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as error:
            raise _read_error(error) from None
        except ValueError as error:
            raise CommandError("unreadable", str(error), "check --host", EXIT_FAILED) from None
        except OSError as error:
            reason = getattr(error, "reason", error)
            hint = "check --host, or try another entry host"
            cause = f"{self._base_url} cannot be reached: {reason}"
            raise CommandError("unreachable", cause, hint, EXIT_FAILED) from None

    def call_json(self, method: str, path: str, body: object) -> Any:
        """Send a JSON body and return the JSON body of a successful answer."""
        return self.call(method, path, json.dumps(body).encode())


def _read_error(error: urllib.error.HTTPError) -> CommandError:
    try:
        body = json.loads(error.read())
    except ValueError:
        body = {}
    code = body.get("code", f"http_{error.code}")
    outcome = body.get("outcome", "unknown")
    findings = [f"{row['place']}: {row['reason']}" for row in body.get("findings", [])]
    hint = _HINTS.get(code, "")
    exit_code = EXIT_INPUT
    if error.code >= 500:
        exit_code = EXIT_NOT_RUN if outcome == "not_run" else EXIT_UNKNOWN
        wait_s = body.get("retry_after_ms", 1_000) / 1_000
        hint = f"the request was not run; retry in {wait_s:g} s"
        if outcome != "not_run":
            hint = "the request may have been run; repeat it with the same id, or show the job"
    return CommandError(code, body.get("cause", str(error)), hint, exit_code, findings)
