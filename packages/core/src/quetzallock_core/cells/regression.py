"""Recursive least squares for a sum of named terms whose coefficients drift slowly.

The work of an observation depends on the number of its terms only, not on that of all terms: of
the covariances only those within the latest observation of a term are kept. The others count as
independent, as they do before they are observed together.
"""

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
        """Set the coefficient of `name`, independent of all others."""
        for other in self._covariance.get(name, ()):
            if other != name:
                del self._covariance[other][name]
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

    def observe(self, terms: dict[str, float], value: float, count: int = 1) -> None:
        """Update the estimates with observations of the sum of coefficients times terms.

        Args:
            terms: The weights of the coefficients in the sum.
            value: The observed sum, or the mean of `count` observations of it.
            count: Number of observations with the same terms.
        """
        for name in terms:
            if name not in self._means:
                self.set(name, self.prior, self.prior_variance)
            self._covariance[name][name] += count * self.drift
        covariances = self._compute_covariances(terms)
        innovation_variance = self.noise_variance / count
        innovation_variance += sum(covariances[name] * x for name, x in terms.items())
        error = value - sum(self._means[name] * x for name, x in terms.items())
        for name, covariance in covariances.items():
            mean = self._means[name] + covariance / innovation_variance * error
            self._means[name] = max(mean, self.minimum)
        self._reduce_covariance(covariances, innovation_variance)

    def _compute_covariances(self, terms: dict[str, float]) -> dict[str, float]:
        """Return the covariance of each of `terms` with the sum of coefficients times `terms`."""
        return {
            name: sum(self._covariance[name].get(other, 0.0) * x for other, x in terms.items())
            for name in terms
        }

    def _reduce_covariance(self, covariances: dict[str, float], innovation_variance: float) -> None:
        """Update the covariances within the observed terms, and drop those with other terms."""
        for name, covariance in covariances.items():
            row = self._covariance[name]
            for other in row:
                if other not in covariances:
                    del self._covariance[other][name]
            gain = covariance / innovation_variance
            self._covariance[name] = {
                other: row.get(other, 0.0) - gain * other_covariance
                for other, other_covariance in covariances.items()
            }
