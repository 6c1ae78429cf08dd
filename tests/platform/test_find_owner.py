"""The owner of the cell is found by its epoch."""

from .processes import LocalPlatform, find_owned_epoch


class LoggedHost:
    """An entry host of which only the log is known."""

    def __init__(self, *lines: dict[str, object]) -> None:
        self._lines = list(lines)

    def read_log(self) -> list[dict[str, object]]:
        """Return the structured lines."""
        return self._lines


def owned(epoch: int) -> dict[str, object]:
    return {"t": 1796377092.497, "event": "cell is owned", "epoch": epoch}


def test_owner_is_the_host_of_the_higher_epoch_when_two_lines_have_one_time() -> None:
    first, second, third = LoggedHost(owned(2)), LoggedHost(owned(3)), LoggedHost()
    platform = LocalPlatform.__new__(LocalPlatform)
    platform.hosts = [first, second, third]  # type: ignore[list-item]
    assert platform.find_owner() is second
    platform.hosts = [second, first, third]  # type: ignore[list-item]
    assert platform.find_owner() is second


def test_host_that_never_owned_the_cell_has_epoch_0() -> None:
    assert find_owned_epoch([{"t": 1.0, "event": "cell.restored", "epoch": 9}]) == 0
