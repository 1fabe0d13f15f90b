"""The reference page lists exactly the metrics that are served."""

import pathlib
import re

from chestnutshift.edge.metrics import PREFIX, EdgeMetrics

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / 'docs/reference/edge-metrics.md'


def test_page_is_complete() -> None:
    """Each served metric has a row, named without the prefix."""
    text = PAGE.read_text(encoding='utf-8')
    documented = set(re.findall(r'^\| `(\w+)`', text, re.MULTILINE))
    suffixes = {'counter': '_total'}
    served = {
        family.name.removeprefix(f'{PREFIX}_') + suffixes.get(family.type, '')
        for family in EdgeMetrics().registry.collect()
    }
    assert documented == served
