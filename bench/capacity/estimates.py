"""Costs at the target size, summed up from slopes and assumptions."""

import enum
from collections.abc import Callable

import attrs

from bench.capacity.fits import Fit
from bench.capacity.slopes import FittedSlope
from chestnutshift.exceptions import CodedError


class MissingSlopeError(CodedError):
    """An estimate needs a slope that was not measured in this run."""

    code = 'capacity.missing_slope'


class Status(enum.StrEnum):
    """The origin of a figure.

    A measured figure comes from a measurement, an extrapolated one from a slope
    taken to the target size, an argued one from assumptions alone.
    """

    MEASURED = 'measured'
    EXTRAPOLATED = 'extrapolated'
    ARGUED = 'argued'
    MISSING = 'not measured yet'


class Budget(enum.StrEnum):
    """A resource whose costs are added up over parts."""

    MEMORY = 'memory'
    TRAFFIC = 'traffic'
    PEAK_TRAFFIC = 'peak traffic'
    RELAY_TRAFFIC = 'traffic of a relay'
    PROCESSOR = 'processor'
    WRITES = 'writes'
    READS = 'reads'
    IN_FORCE = 'in force'


@attrs.frozen
class Results:
    """The measured slopes and the full-size figures of one run."""

    measured: dict[str, FittedSlope]
    full: dict[str, float]

    def per_unit(self, name: str) -> float:
        """Return the slope of a measurement; raise MissingSlopeError."""
        return self.fit(name).slope

    def at(self, name: str, size: float) -> float:
        """Return the fitted amount at a size; raise MissingSlopeError."""
        return self.fit(name).at(size)

    def fit(self, name: str) -> Fit:
        """Return the line fitted to a measurement; raise MissingSlopeError."""
        if name not in self.measured:
            raise MissingSlopeError(name)
        return self.measured[name].fit


Compute = Callable[[Results], float]


@attrs.frozen
class Part:
    """One part of a budget, with its computation and basis."""

    budget: Budget
    name: str
    status: Status
    basis: str
    compute: Compute

    def amount(self, results: Results) -> float | None:
        """Return the amount, None if a slope was not measured."""
        try:
            return self.compute(results)
        except MissingSlopeError:
            return None


PARTS: list[Part] = []


def part(
    budget: Budget,
    name: str,
    status: Status,
    basis: str,
) -> Callable[[Compute], Compute]:
    """Return a decorator that registers a computation as a part."""

    def decorator(compute: Compute) -> Compute:
        PARTS.append(Part(budget, name, status, basis, compute))
        return compute

    return decorator


def parts_of(budget: Budget) -> list[Part]:
    """Return the parts of a budget."""
    return [entry for entry in PARTS if entry.budget is budget]


def total(budget: Budget, results: Results) -> float | None:
    """Return the sum of a budget, None if any part was not measured."""
    amounts = [entry.amount(results) for entry in parts_of(budget)]
    known = [amount for amount in amounts if amount is not None]
    return sum(known) if len(known) == len(amounts) else None


def require_total(budget: Budget, results: Results) -> float:
    """Return the sum of a budget; raise MissingSlopeError."""
    amount = total(budget, results)
    if amount is None:
        raise MissingSlopeError(budget)
    return amount
