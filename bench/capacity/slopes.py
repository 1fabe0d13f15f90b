"""The registry of measurements, which the slope decorator fills."""

import importlib
import json
import logging
import pathlib
from collections.abc import Callable

import attrs

from bench.capacity.fits import Fit, Point, fit_line
from chestnutshift.registry import Registry

SECONDS = 's'
BYTES = 'B'

logger = logging.getLogger(__name__)


@attrs.frozen
class Slope:
    """A measurement of a cost, in unit, over the number of things in per.

    needs names the modules without which the measurement is skipped.
    """

    name: str
    title: str
    per: str
    unit: str
    measure: Callable[[], list[Point]]
    needs: tuple[str, ...] = ()


@attrs.frozen
class FittedSlope:
    """A measurement with its points and the line fitted to them."""

    slope: Slope
    points: list[Point]
    fit: Fit


SLOPES: Registry[Slope] = Registry('slope')


def slope(
    name: str,
    title: str,
    per: str,
    unit: str,
    needs: tuple[str, ...] = (),
) -> Callable[[Callable[[], list[Point]]], Slope]:
    """Return a decorator that registers a measuring function."""

    def decorator(measure: Callable[[], list[Point]]) -> Slope:
        entry = Slope(name, title, per, unit, measure, needs)
        return SLOPES.register(name)(entry)

    return decorator


def measure_all() -> dict[str, FittedSlope]:
    """Run all measurements whose modules exist; log each result."""
    measured = {}
    for name in SLOPES:
        entry = SLOPES.get(name)
        missing = [
            module for module in entry.needs if not _is_importable(module)
        ]
        if missing:
            logger.warning(
                '%s: not measured, missing modules %s', name, missing
            )
            continue
        points = entry.measure()
        fit = fit_line(points)
        logger.info(
            '%s: %.4g %s per %s, residual %.1f%%',
            name,
            fit.slope,
            entry.unit,
            entry.per,
            fit.residual * 100,
        )
        measured[name] = FittedSlope(entry, points, fit)
    return measured


def write_slopes(
    measured: dict[str, FittedSlope],
    full: dict[str, float],
    path: pathlib.Path,
) -> None:
    """Write all points and lines as JSON."""
    document = {
        name: {
            'per': fitted.slope.per,
            'unit': fitted.slope.unit,
            'points': [attrs.astuple(point) for point in fitted.points],
            **attrs.asdict(fitted.fit),
        }
        for name, fitted in measured.items()
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps({'slopes': document, 'full_table': full}, indent=1)
    path.write_text(f'{text}\n')


def _is_importable(module: str) -> bool:
    try:
        importlib.import_module(module)
    except ImportError:
        return False
    return True
