"""Output of commands, as text or as JSON for scripts."""

import json
import sys

import attrs

from chestnutshift.exceptions import CodedError


@attrs.frozen
class Output:
    """Printer of a command; as_json selects JSON for scripts."""

    as_json: bool = False

    def show(self, document: dict[str, object], *lines: str) -> None:
        """Print the document as JSON, or else the lines."""
        if self.as_json:
            sys.stdout.write(f'{json.dumps(document)}\n')
            return
        for line in lines:
            sys.stdout.write(f'{line}\n')

    def show_error(self, error: CodedError) -> None:
        """Print an error to standard error, as JSON for scripts."""
        if not self.as_json:
            sys.stderr.write(f'{error.code}: {error.detail}\n')
            return
        document = {
            'code': error.code,
            'detail': error.detail,
            'problems': list(getattr(error, 'problems', ())),
        }
        sys.stderr.write(f'{json.dumps(document)}\n')


def table(rows: list[list[object]]) -> list[str]:
    """Return the rows as lines with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
