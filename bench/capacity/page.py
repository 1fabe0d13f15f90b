"""Replacement of the tables between the markers of a Markdown page."""

import re

from chestnutshift.exceptions import CodedError

END = '<!-- end -->'
_TABLE = re.compile(
    f'<!-- table:([a-z-]+) -->\n(.*?){re.escape(END)}',
    re.DOTALL,
)


class PageError(CodedError):
    """The markers of the page do not match the tables of the run."""

    code = 'capacity.page'


def replace_tables(text: str, tables: dict[str, str]) -> str:
    """Return the page with every table replaced; raise PageError."""
    sections = sorted(_TABLE.findall(text))
    names = [name for name, _ in sections]
    if names != sorted(tables):
        raise PageError(
            f'page has markers {names}, run has tables {sorted(tables)}'
        )
    return _TABLE.sub(
        lambda match: _section(match[1], tables[match[1]]),
        text,
    )


def _section(name: str, table: str) -> str:
    return f'<!-- table:{name} -->\n{table}\n{END}'
