"""Results of the measurements."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """A quantity that was measured at several sizes.

    Attributes:
        role: Role of the daemon that causes the cost.
        quantity: The quantity, with its unit.
        size_name: Name of what the sizes count.
        points: Pairs of size and value.
    """

    role: str
    quantity: str
    size_name: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Growth of the value per unit of size, by least squares."""
        return fit_line(self.points)[0]

    @property
    def base(self) -> float:
        """Value at size 0, by least squares."""
        return fit_line(self.points)[1]

    def at(self, size: float) -> float:
        """Return the value of the fitted line at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the line that fits the points best."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
        if sum_of_squares
        else 0.0
    )
    return slope, mean_y - slope * mean_x
