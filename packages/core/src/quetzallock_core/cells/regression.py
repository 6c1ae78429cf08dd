"""Recursive least squares for a sum of named terms whose coefficients drift slowly."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TermEstimates:
    """Estimated coefficients of named terms, with their covariance.

    Attributes:
        prior: Coefficient of a term that was never observed.
        prior_variance: Variance of that coefficient.
        noise_variance: Variance of the noise of one observation.
        drift: Variance added to a coefficient with each observation that includes its term.
        minimum: Lower bound of the coefficients.
    """

    prior: float
    prior_variance: float
    noise_variance: float
    drift: float
    minimum: float
    _positions: dict[str, int] = field(default_factory=dict)
    _means: list[float] = field(default_factory=list)
    _covariance: list[list[float]] = field(default_factory=list)

    def set(self, name: str, mean: float, variance: float) -> None:
        """Set the coefficient of `name`."""
        position = self._positions.get(name)
        if position is None:
            position = self._add(name)
        self._means[position] = mean
        self._covariance[position] = [0.0] * len(self._means)
        self._covariance[position][position] = variance

    def _add(self, name: str) -> int:
        """Add a term without covariance to the others, and return its position."""
        position = self._positions[name] = len(self._means)
        self._means.append(self.prior)
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([])
        return position

    def mean(self, name: str) -> float:
        """Return the coefficient of `name`."""
        position = self._positions.get(name)
        return self.prior if position is None else self._means[position]

    def variance(self, name: str) -> float:
        """Return the variance of the coefficient of `name`."""
        position = self._positions.get(name)
        return self.prior_variance if position is None else self._covariance[position][position]

    def list_means(self) -> dict[str, float]:
        """Return the coefficients of all observed terms."""
        return dict(zip(self._positions, self._means, strict=True))

    def observe(self, terms: dict[str, float], value: float, count: int = 1) -> None:
        """Update the estimates with observations of the sum of coefficients times terms.

        Args:
            terms: The weights of the coefficients in the sum.
            value: The observed sum, or the mean of `count` observations of it.
            count: Number of observations with the same terms.
        """
        for name in terms:
            if name not in self._positions:
                self.set(name, self.prior, self.prior_variance)
        weights = [(self._positions[name], x) for name, x in terms.items()]
        for position, _ in weights:
            self._covariance[position][position] += count * self.drift
        covariances = self._compute_covariances(weights)
        innovation_variance = self.noise_variance / count
        innovation_variance += sum(covariances[p] * x for p, x in weights)
        error = value - sum(self._means[p] * x for p, x in weights)
        gains = [covariance / innovation_variance for covariance in covariances]
        self._means = [
            max(mean + gain * error, self.minimum)
            for mean, gain in zip(self._means, gains, strict=True)
        ]
        self._reduce_covariance(covariances, gains)

    def _compute_covariances(self, weights: list[tuple[int, float]]) -> list[float]:
        """Return the covariance of each coefficient with the weighted sum of coefficients."""
        covariances = [0.0] * len(self._means)
        for position, x in weights:
            # A covariance matrix is symmetric: its row is its column.
            row = self._covariance[position]
            covariances = [
                covariance + value * x for covariance, value in zip(covariances, row, strict=True)
            ]
        return covariances

    def _reduce_covariance(self, covariances: list[float], gains: list[float]) -> None:
        for position, gain in enumerate(gains):
            if gain:
                row = self._covariance[position]
                self._covariance[position] = [
                    value - gain * other for value, other in zip(row, covariances, strict=True)
                ]
