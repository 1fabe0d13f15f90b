"""Put the tables of a run between the markers of a page."""

import re

from chestnutshift.exceptions import CodedError

END = '<!-- end -->'
_TABLE = re.compile(
    f'<!-- table:([a-z-]+) -->\n(.*?){re.escape(END)}',
    re.DOTALL,
)


class PageError(CodedError):
    """The markers of the page and the tables of the run differ."""

    code = 'capacity.page'


def replace_tables(text: str, tables: dict[str, str]) -> str:
    """Return the page with every table replaced; raise PageError."""
    found = sorted(_TABLE.findall(text))
    names = [name for name, _ in found]
    if names != sorted(tables):
        raise PageError(f'markers {names}, tables {sorted(tables)}')
    return _TABLE.sub(
        lambda match: _section(match[1], tables[match[1]]),
        text,
    )


def _section(name: str, table: str) -> str:
    return f'<!-- table:{name} -->\n{table}\n{END}'
