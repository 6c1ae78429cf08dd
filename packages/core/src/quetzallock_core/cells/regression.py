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
    _means: dict[str, float] = field(default_factory=dict)
    _covariance: dict[str, dict[str, float]] = field(default_factory=dict)

    def set(self, name: str, mean: float, variance: float) -> None:
        """Set the coefficient of `name`."""
        self._means[name] = mean
        self._covariance[name] = {name: variance}

    def mean(self, name: str) -> float:
        """Return the coefficient of `name`."""
        return self._means.get(name, self.prior)

    def variance(self, name: str) -> float:
        """Return the variance of the coefficient of `name`."""
        row = self._covariance.get(name)
        return self.prior_variance if row is None else row[name]

    def list_means(self) -> dict[str, float]:
        """Return the coefficients of all observed terms."""
        return dict(self._means)

    def observe(self, terms: dict[str, float], value: float) -> None:
        """Update the estimates with one observation of the sum of coefficients times terms."""
        for name in terms:
            if name not in self._means:
                self.set(name, self.prior, self.prior_variance)
            self._covariance[name][name] += self.drift
        covariances = self._compute_covariances(terms)
        innovation_variance = self.noise_variance + sum(
            covariances[name] * x for name, x in terms.items()
        )
        error = value - sum(self._means[name] * x for name, x in terms.items())
        for name, covariance in covariances.items():
            self._means[name] = max(
                self._means[name] + covariance / innovation_variance * error, self.minimum
            )
        self._reduce_covariance(covariances, innovation_variance)

    def _compute_covariances(self, terms: dict[str, float]) -> dict[str, float]:
        """Return the covariance of each coefficient with the sum of coefficients times `terms`."""
        return {
            name: sum(row.get(other, 0.0) * x for other, x in terms.items())
            for name, row in self._covariance.items()
        }

    def _reduce_covariance(self, covariances: dict[str, float], innovation_variance: float) -> None:
        for name, covariance in covariances.items():
            if not covariance:
                continue
            row = self._covariance[name]
            for other, other_covariance in covariances.items():
                if other_covariance:
                    row[other] = (
                        row.get(other, 0.0) - covariance * other_covariance / innovation_variance
                    )
