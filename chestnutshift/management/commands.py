"""The commands, one method each; fire makes the command line of them."""

import functools
import itertools
import pathlib
import sys

import attrs
import trio
from fire.decorators import SetParseFn, SetParseFns

from chestnutshift.checks import configurations as _configurations  # noqa: F401
from chestnutshift.checks import settings as _settings  # noqa: F401
from chestnutshift.checks.registry import check_settings
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.loader import load_settings
from chestnutshift.conf.settings import Settings
from chestnutshift.keys import credentials
from chestnutshift.logs import explaining
from chestnutshift.logs.setup import set_up_logging
from chestnutshift.management.actions import postponed
from chestnutshift.management.changing import Changer
from chestnutshift.management.client import OperatorsClient
from chestnutshift.management.output import Output, table
from chestnutshift.management.presets import read_preset
from chestnutshift.management.status import status_lines
from chestnutshift.storage.backends.http import HttpPlatform
from chestnutshift.vms.assembly import make_state
from chestnutshift.vms.process import VmProcess

# Without it fire reads a label such as 2026, or a digest such as 12e5, as a
# number.
TEXTS = SetParseFn(str)


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


@postponed
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

    @TEXTS
    def show(self, name: str) -> None:
        """Show everything that a preset sets."""
        document = self._session.client.get('/configuration')
        preset = document['presets'].get(name)
        if preset is None:
            known = ', '.join(sorted(document['presets']))
            raise SettingsError(name, (f'is no preset; there are: {known}',))
        lines = [f'{key}: {setting}' for key, setting in preset.items()]
        self._session.output.show(preset, *lines)

    @TEXTS
    def choose(self, name: str) -> None:
        """Put a preset in force on every VM."""
        self._session.changer.change('choose_preset', {'preset': name})

    @TEXTS
    def edit(self, name: str, file: str) -> None:
        """Replace a preset by the content of a TOML file, or add it."""
        content = read_preset(name, file)
        self._session.changer.change(
            'edit_preset',
            {'preset': name, 'content': content},
        )


@postponed
class KeyCommands:
    """Give, withdraw and list callers' keys."""

    def __init__(self, session: Session) -> None:
        """Work on the session's VM."""
        self._session = session

    @TEXTS
    def give(self, account: str, label: str) -> None:
        """Make a key for a client account; it is shown this once only."""
        key = credentials.generate()
        self._session.changer.change(
            'give_key',
            {
                'account': account,
                'label': label,
                'digest': credentials.digest(key),
            },
            {'key': key},
        )

    @TEXTS
    def withdraw(self, key: str) -> None:
        """Withdraw a key for good, by its label or the start of its digest."""
        self._session.changer.change('withdraw_key', {'key': key})

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


@postponed
class Commands:
    """Steer callers over regions and failure domains.

    Every command but `serve`, `check` and `explain` asks the operators' port
    of the VM that --settings names. --json prints JSON for scripts;
    --dry_run shows what a change would do.
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

    @TEXTS
    def check(self, preset: str = '') -> None:
        """Check the settings file, or a preset's file; say what is wrong."""
        if preset:
            read_preset(pathlib.Path(preset).stem, preset)
            self._session.output.show(
                {'path': preset, 'problems': []},
                f'{preset}: the preset is in order',
            )
            return
        name = self._session.settings.vm.name
        self._session.output.show(
            {'path': self._session.path, 'problems': []},
            f'{self._session.path}: the settings of {name} are in order',
        )

    def status(self) -> None:
        """Show on one screen what is in force, where, and who is heard."""
        status = self._session.client.get('/status')
        self._session.output.show(status, *status_lines(status))

    @TEXTS
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

    @SetParseFns(request=str, account=str, upstream=str)
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
            request=request,
            account=account,
            upstream=upstream,
            number=number,
        )
        lines = [_event_line(event) for event in document['events']]
        if document['not_heard']:
            missing = ', '.join(document['not_heard'])
            lines.append(f'not heard: {missing}')
        self._session.output.show(document, *lines)

    @TEXTS
    def explain(self, request: str, *logs: str) -> None:
        """Tell from the logs of edge VMs what became of a request.

        Without files the logs are read from standard input.
        """
        texts = itertools.chain.from_iterable(
            pathlib.Path(path).read_text(encoding='utf-8').splitlines()
            for path in logs
        )
        story = explaining.explain(texts if logs else sys.stdin, request)
        self._session.output.show(
            {'reason': story.reason, **attrs.asdict(story)},
            *(explaining.describe(line) for line in story.background),
            *(explaining.describe(line) for line in story.lines),
            f'{request}: {story.reason}',
        )

    @TEXTS
    def declare_dead(self, vm: str) -> None:
        """Stop waiting for a VM that surely runs no longer.

        For a platform outage: keyed requests stop while a VM is silent, as
        it may have taken a withdrawal. Give again the withdrawals that went
        through that VM.
        """
        answer = self._session.client.post('/dead', {'vm': vm})
        self._session.output.show(answer, f'{vm} is not waited for any more')

    @TEXTS
    def drain(self, target: str) -> None:
        """Give no new work to a VM, upstream, failure domain or region."""
        self._session.changer.change('start_drain', {'target': target})

    @TEXTS
    def undrain(self, target: str) -> None:
        """Let a drained target take work again."""
        self._session.changer.change('end_drain', {'target': target})


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
