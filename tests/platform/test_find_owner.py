"""The process tests find the owner of the cell by its epoch.

Two hosts can log their ownership within the same ms, so the time of a log line does not tell which
of them came last.
"""

from .processes import LocalPlatform, find_owned_epoch


class LoggedHost:
    """An entry host that consists only of log lines."""

    def __init__(self, *lines: dict[str, object]) -> None:
        self._lines = list(lines)

    def read_log(self) -> list[dict[str, object]]:
        """Return the structured log lines."""
        return self._lines


def owned(epoch: int) -> dict[str, object]:
    return {"t": 1796377092.497, "event": "cell is owned", "epoch": epoch}


def test_owner_is_the_host_with_the_higher_epoch_if_log_times_are_equal() -> None:
    first, second, third = LoggedHost(owned(2)), LoggedHost(owned(3)), LoggedHost()
    platform = LocalPlatform.__new__(LocalPlatform)
    platform.hosts = [first, second, third]  # type: ignore[list-item]
    assert platform.find_owner() is second
    platform.hosts = [second, first, third]  # type: ignore[list-item]
    assert platform.find_owner() is second


def test_host_that_never_owned_the_cell_has_epoch_0() -> None:
    assert find_owned_epoch([{"t": 1.0, "event": "cell.restored", "epoch": 9}]) == 0
