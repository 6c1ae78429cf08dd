"""`quetzallockd --config FILE`: runs the daemon.

Exit codes: 0 drained after SIGTERM or SIGINT, 1 failed, 2 settings not valid, 3 address in use,
4 drain time limit reached with requests still in flight.
"""

import logging
import sys

import fire

from quetzallock_core.exceptions import InvalidInputError, QuetzallockError

from .const import EXIT_ADDRESS_IN_USE, EXIT_FAILED, EXIT_INVALID_SETTINGS
from .settings import load_settings

_LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def run(config: str) -> None:
    """Run the daemon with the settings in the file CONFIG until it is stopped."""
    try:
        settings = load_settings(config)
    except InvalidInputError as error:
        for finding in error.findings:
            print(f"{error.code}: {finding}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    logging.basicConfig(level=settings.telemetry.log_level, format=_LOG_FORMAT, stream=sys.stderr)
    from .daemon import AddressInUseError, Daemon
    from .helpers import reactor

    try:
        daemon = Daemon(reactor, settings)
        daemon.start()
    except AddressInUseError as error:
        print(f"{error.code}: {error.cause}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS_IN_USE)
    except QuetzallockError as error:
        print(f"{error.code}: {error.cause}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    reactor.run()
    sys.exit(daemon.exit_code)


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="quetzallockd")


if __name__ == "__main__":
    main()
