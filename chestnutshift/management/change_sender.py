"""Sending of changes to a VM, and display of their reports."""

import attrs

from chestnutshift.management.client import OperatorsClient
from chestnutshift.management.exceptions import PartialError
from chestnutshift.management.output import Output


@attrs.frozen
class ChangeSender:
    """Sender of changes to a VM; with dry_run it only shows their effect."""

    client: OperatorsClient
    output: Output
    dry_run: bool = False

    def change(
        self,
        kind: str,
        arguments: dict[str, object],
        extra: dict[str, str] | None = None,
    ) -> None:
        """Make the change and show its report.

        The lines of extra are shown too once the change is accepted, even if
        it is not yet in force on every VM.

        The change applies to the configuration of the preview: if another
        operator changes it in between, the change fails with a conflict.

        Raises RemoteError, PartialError, UnreachableError and
        OutcomeUnknownError.
        """
        preview = self._send(kind, arguments, expected_number=0, dry_run=True)
        if self.dry_run:
            self._show(preview, {})
            return
        report = self._send(
            kind,
            arguments,
            expected_number=preview['number'],
            dry_run=False,
        )
        self._show(report, extra or {})
        if report['not_reached']:
            missing = ', '.join(report['not_reached'])
            raise PartialError(f'accepted; not in force yet on: {missing}')

    def _send(
        self,
        kind: str,
        arguments: dict[str, object],
        *,
        expected_number: int,
        dry_run: bool,
    ) -> dict:
        return self.client.post(
            '/changes',
            {
                'kind': kind,
                'arguments': arguments,
                'expected_number': expected_number,
                'dry_run': dry_run,
            },
        )

    def _show(self, report: dict, extra: dict[str, str]) -> None:
        lines = [f'  {difference}' for difference in report['differences']]
        if report['accepted']:
            reached = len(report['in_force_on'])
            total = reached + len(report['not_reached'])
            number = report['number']
            lines.append(
                f'configuration {number} is in force on {reached} of {total}',
            )
        else:
            lines.append('nothing was changed: this was a dry run')
        lines += [f'{name}: {text}' for name, text in extra.items()]
        self.output.show({**report, **extra}, *lines)
