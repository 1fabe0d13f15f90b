"""Straight lines through measured points."""

import math

import attrs


@attrs.frozen
class Point:
    """One measurement: the size and the amount, in seconds or bytes."""

    size: float
    amount: float


@attrs.frozen
class Fit:
    """The line amount = intercept + slope * size, with its residual.

    residual is the root mean square distance of the points from the line, as
    a fraction of the mean amount.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the amount that the line gives for a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[Point]) -> Fit:
    """Fit a line to three or more points by least squares."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_amount = sum(point.amount for point in points) / count
    variance_sum = sum((point.size - mean_size) ** 2 for point in points)
    covariance_sum = sum(
        (point.size - mean_size) * (point.amount - mean_amount)
        for point in points
    )
    slope = covariance_sum / variance_sum
    line = Fit(slope, mean_amount - slope * mean_size, 0)
    squares = sum((line.at(point.size) - point.amount) ** 2 for point in points)
    residual = math.sqrt(squares / count) / abs(mean_amount)
    return attrs.evolve(line, residual=residual)
