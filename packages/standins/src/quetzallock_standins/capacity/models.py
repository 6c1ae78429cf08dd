"""What a measurement yields."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """A quantity measured at several sizes.

    Attributes:
        role: Role of the daemon that spends it.
        quantity: What is measured, with its unit.
        size_name: What the sizes count.
        points: Size and value.
    """

    role: str
    quantity: str
    size_name: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Growth for one more of the size, by least squares."""
        return fit_line(self.points)[0]

    @property
    def base(self) -> float:
        """Value at size nought, by least squares."""
        return fit_line(self.points)[1]

    def at(self, size: float) -> float:
        """Return the value that the line gives at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and base of the line through points that fits best."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return slope, mean_y - slope * mean_x
