"""Ask for a change, show what it does, and where it is in force."""

import attrs

from chestnutshift.management.client import OperatorsClient
from chestnutshift.management.exceptions import PartialError
from chestnutshift.management.output import Output


@attrs.frozen
class Changer:
    """Send changes to a VM; with dry_run only show what would change."""

    client: OperatorsClient
    output: Output
    dry_run: bool = False

    def change(
        self,
        kind: str,
        arguments: dict[str, object],
        told: dict[str, str] | None = None,
    ) -> None:
        """Make the change; raise RemoteError, PartialError, and others.

        told is shown as well once the change is accepted, also if it is not
        in force everywhere yet.

        The change is made to the configuration that is shown: if another
        operator changes it meanwhile, this one gets a conflict.
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
        self._show(report, told or {})
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

    def _show(self, report: dict, told: dict[str, str]) -> None:
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
        lines += [f'{name}: {text}' for name, text in told.items()]
        self.output.show({**report, **told}, *lines)
