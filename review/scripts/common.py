"""Runs a scenario and turns its result into the exit status of a case."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable

from standins.deployment import Deployment

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(scenario: Callable[[Deployment], Awaitable[list[str]]], deployment: Deployment) -> int:
    world = deployment.world
    try:
        async with asyncio.timeout(112):
            findings = await scenario(deployment)
    except Exception:  # noqa: BLE001
        world.write("the case could not run: " + traceback.format_exc())
        return COULD_NOT_RUN
    finally:
        deployment.close()
    for finding in findings:
        world.write(f"BROKEN {finding}")
        print(f"broken: {finding}")
    if not findings:
        world.write("the rule held")
        print("the rule held")
    return BROKEN if findings else HELD


def main(scenario: Callable[[Deployment], Awaitable[list[str]]], hosts: int = 6) -> None:
    """Play `scenario`, which returns what breaks the rule, and exit."""

    async def play() -> int:
        try:
            deployment = Deployment(sys.argv[1], hosts)
        except Exception:  # noqa: BLE001
            traceback.print_exc()
            return COULD_NOT_RUN
        return await _run(scenario, deployment)

    sys.exit(asyncio.run(play()))
