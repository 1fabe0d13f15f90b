"""The commands, one method each; fire makes the command line of them."""

import functools

import attrs
import trio

from chestnutshift.checks import configurations as _configurations  # noqa: F401
from chestnutshift.checks import settings as _settings  # noqa: F401
from chestnutshift.checks.registry import check_settings
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.loader import load_settings, read_toml, structure
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.model import Preset
from chestnutshift.keys import credentials
from chestnutshift.logs.setup import set_up_logging
from chestnutshift.management.changing import Changer
from chestnutshift.management.client import OperatorsClient
from chestnutshift.management.output import Output, table
from chestnutshift.platform.backends.http import HttpPlatform
from chestnutshift.vms.assembly import make_state
from chestnutshift.vms.process import VmProcess


@attrs.frozen
class Session:
    """What every command needs: the settings file and how to print."""

    path: str
    output: Output
    dry_run: bool

    @property
    def settings(self) -> Settings:
        """The checked settings; raises SettingsError."""
        settings = load_settings(self.path)
        problems = check_settings(settings)
        if problems:
            raise SettingsError(self.path, tuple(map(str, problems)))
        return settings

    @property
    def client(self) -> OperatorsClient:
        """A client of the VM's operators' port."""
        return OperatorsClient(self.settings)

    @property
    def changer(self) -> Changer:
        """What sends changes."""
        return Changer(self.client, self.output, self.dry_run)


class PresetCommands:
    """Show, choose and edit presets."""

    def __init__(self, session: Session) -> None:
        """Work on the session's VM."""
        self._session = session

    def list(self) -> None:
        """List the presets; a star marks the one in force."""
        document = self._session.client.get('/configuration')
        marks = {document['in_force']: '*'}
        names = sorted(document['presets'])
        lines = [f'{marks.get(name, " ")} {name}' for name in names]
        self._session.output.show(
            {'in_force': document['in_force'], 'presets': names},
            *lines,
        )

    def show(self, name: str) -> None:
        """Show everything that a preset sets."""
        document = self._session.client.get('/configuration')
        preset = document['presets'].get(name)
        if preset is None:
            known = ', '.join(sorted(document['presets']))
            raise SettingsError(name, (f'is no preset; there are: {known}',))
        lines = [f'{key}: {setting}' for key, setting in preset.items()]
        self._session.output.show(preset, *lines)

    def choose(self, name: str) -> None:
        """Put a preset in force on every VM."""
        self._session.changer.change('choose_preset', preset=name)

    def edit(self, name: str, file: str) -> None:
        """Replace a preset by the content of a TOML file, or add it."""
        content = read_toml(file)
        structure(content, Preset, file)
        self._session.changer.change(
            'edit_preset',
            preset=name,
            content=content,
        )


class KeyCommands:
    """Give, withdraw and list callers' keys."""

    def __init__(self, session: Session) -> None:
        """Work on the session's VM."""
        self._session = session

    def give(self, account: str, label: str) -> None:
        """Make a key for a client account; it is shown this once only."""
        key = credentials.generate()
        self._session.changer.change(
            'give_key',
            account=account,
            label=label,
            digest=credentials.digest(key),
        )
        if not self._session.dry_run:
            self._session.output.show({'key': key}, f'key: {key}')

    def withdraw(self, key: str) -> None:
        """Withdraw a key for good, by its label or the start of its digest."""
        self._session.changer.change('withdraw_key', key=str(key))

    def list(self) -> None:
        """List the keys by digest; the keys themselves are not kept."""
        document = self._session.client.get('/configuration')
        rows = [
            [
                digest[:12],
                record['account'],
                record['label'],
                'withdrawn' if record['withdrawn'] else 'in force',
            ]
            for digest, record in document['keys'].items()
        ]
        header = ['digest', 'account', 'label', 'state']
        self._session.output.show(
            {'keys': document['keys']},
            *table([header, *rows]),
        )


class Commands:
    """Steer callers over regions and failure domains.

    Every command but `serve` and `check` asks the operators' port of the VM
    that --settings names. --json prints JSON for scripts; --dry_run shows
    what a change would do.
    """

    def __init__(
        self,
        settings: str = 'chestnutshift.toml',
        json: bool = False,
        dry_run: bool = False,
    ) -> None:
        """Read which VM to ask and how to print."""
        self._session = Session(settings, Output(as_json=json), dry_run)
        self.preset = PresetCommands(self._session)
        self.key = KeyCommands(self._session)

    def serve(self) -> None:
        """Run this VM until SIGTERM or Ctrl-C."""
        settings = self._session.settings
        set_up_logging(settings.logging)
        trio.run(functools.partial(_serve, settings))

    def check(self) -> None:
        """Check the settings file and say what is wrong."""
        name = self._session.settings.vm.name
        self._session.output.show(
            {'path': self._session.path, 'problems': []},
            f'{self._session.path}: the settings of {name} are in order',
        )

    def status(self) -> None:
        """Show on one screen what is in force, where, and who is heard."""
        status = self._session.client.get('/status')
        peers = status.pop('peers')
        header = ['vm', 'heard', 'phase', 'configuration', 'headroom']
        rows = [[peer[name] for name in header] for peer in peers]
        lines = [f'{name}: {shown}' for name, shown in status.items()]
        self._session.output.show(
            {**status, 'peers': peers},
            *lines,
            *table([header, *rows]),
        )

    def locate(self, block: str = '', region: str = '') -> None:
        """Show which entry VMs a caller is told to use."""
        answer = self._session.client.get(
            '/locate',
            block=block,
            region=region,
        )
        rows = [
            [entry['vm'], entry['region'], entry['url']]
            for entry in answer['entries']
        ]
        lines = table([['vm', 'region', 'url'], *rows])
        lifetime_s = answer['lifetime_s']
        self._session.output.show(answer, *lines, f'for {lifetime_s} s')

    def timeline(
        self,
        request: str = '',
        account: str = '',
        upstream: str = '',
        number: int = 0,
    ) -> None:
        """Show the events of all VMs in causal order."""
        document = self._session.client.get(
            '/timeline',
            request=str(request),
            account=account,
            upstream=upstream,
            number=number,
        )
        lines = [_event_line(event) for event in document['events']]
        if document['not_heard']:
            missing = ', '.join(document['not_heard'])
            lines.append(f'not heard: {missing}')
        self._session.output.show(document, *lines)

    def drain(self, target: str) -> None:
        """Give no new work to a VM, upstream, failure domain or region."""
        self._session.changer.change('start_drain', target=target)

    def undrain(self, target: str) -> None:
        """Let a drained target take work again."""
        self._session.changer.change('end_drain', target=target)


async def _serve(settings: Settings) -> None:
    platform = HttpPlatform(
        settings.platform.url,
        timeout_s=settings.platform.timeout_s,
    )
    await VmProcess(make_state(settings, platform)).run()


def _event_line(event: dict) -> str:
    parts = {
        name: event[name]
        for name in ('request', 'account', 'upstream')
        if event[name]
    }
    parts.update(event['facts'])
    told = ' '.join(f'{name}={part}' for name, part in parts.items())
    head = ' '.join(
        str(event[name]) for name in ('timestamp', 'vm', 'number', 'name')
    )
    return f'{head} {told}'
