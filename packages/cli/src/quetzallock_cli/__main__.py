"""Entry point of the command line, `quetzallock COMMAND`.

Exit codes: 0 done, 1 failed, 2 invalid input, 3 certainly not run, 4 outcome unknown.
"""

import json
import sys

import fire

from .commands import Commands
from .errors import CommandError


def print_error(error: CommandError, as_json: bool) -> None:
    """Print the code, cause, findings and hint of an error."""
    if as_json:
        body = {"code": error.code, "cause": error.cause, "findings": error.findings}
        print(json.dumps(body), file=sys.stderr)
        return
    print(f"error {error.code}: {error.cause}", file=sys.stderr)
    for finding in error.findings:
        print(f"  {finding}", file=sys.stderr)
    if error.hint:
        print(f"  {error.hint}", file=sys.stderr)


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name="quetzallock")
    except CommandError as error:
        print_error(error, "--json" in sys.argv)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
