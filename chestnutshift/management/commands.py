"""Commands, one method each; fire builds the command line from them."""

import functools
import itertools
import pathlib
import sys

import attrs
import trio
from fire.decorators import SetParseFn, SetParseFns

from chestnutshift.checks import configurations as _configurations  # noqa: F401
from chestnutshift.checks import settings as _settings  # noqa: F401
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.settings import Settings
from chestnutshift.keys import credentials
from chestnutshift.logs import request_trace
from chestnutshift.logs.setup import set_up_logging
from chestnutshift.management.actions import deferred
from chestnutshift.management.crashing import CrashingCommands
from chestnutshift.management.output import Output, table
from chestnutshift.management.presets import read_preset
from chestnutshift.management.session import Session
from chestnutshift.management.status import status_lines
from chestnutshift.storage.backends.http import HttpPlatform
from chestnutshift.vms.assembly import make_state
from chestnutshift.vms.process import VmProcess

# By default, fire parses a label such as 2026 or a digest such as 12e5 as a
# number.
PARSE_AS_TEXT = SetParseFn(str)


@deferred
class PresetCommands:
    """Show, choose and edit presets."""

    def __init__(self, session: Session) -> None:
        """Create the commands for the VM of the session."""
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

    @PARSE_AS_TEXT
    def show(self, name: str) -> None:
        """Show everything that a preset sets."""
        document = self._session.client.get('/configuration')
        preset = document['presets'].get(name)
        if preset is None:
            known = ', '.join(sorted(document['presets']))
            raise SettingsError(name, (f'is not a preset; there are: {known}',))
        lines = [f'{key}: {setting}' for key, setting in preset.items()]
        self._session.output.show(preset, *lines)

    @PARSE_AS_TEXT
    def choose(self, name: str) -> None:
        """Put a preset in force on all VMs."""
        self._session.change_sender.change('choose_preset', {'preset': name})

    @PARSE_AS_TEXT
    def edit(self, name: str, file: str) -> None:
        """Replace or add a preset from a TOML file."""
        content = read_preset(name, file)
        self._session.change_sender.change(
            'edit_preset',
            {'preset': name, 'content': content},
        )


@deferred
class KeyCommands:
    """Give, withdraw and list the keys of client accounts."""

    def __init__(self, session: Session) -> None:
        """Create the commands for the VM of the session."""
        self._session = session

    @PARSE_AS_TEXT
    def give(self, account: str, label: str) -> None:
        """Create a key for a client account; the key is shown only once."""
        key = credentials.generate()
        self._session.change_sender.change(
            'give_key',
            {
                'account': account,
                'label': label,
                'digest': credentials.digest(key),
            },
            {'key': key},
        )

    @PARSE_AS_TEXT
    def withdraw(self, key: str) -> None:
        """Withdraw a key for good, by its label or the start of its digest."""
        self._session.change_sender.change('withdraw_key', {'key': key})

    def list(self) -> None:
        """List the digests of the keys; the keys themselves are not stored."""
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


@deferred
class Commands:
    """Steer callers over regions and failure domains.

    All commands but `serve`, `check`, `explain` and `crashing` connect to
    the operators' port of the VM in the --settings file. --json prints JSON for
    scripts; --dry_run shows what a change would do without making it.
    """

    def __init__(
        self,
        settings: str = 'chestnutshift.toml',
        json: bool = False,
        dry_run: bool = False,
    ) -> None:
        """Create the commands for a settings file and an output format."""
        self._session = Session(settings, Output(as_json=json), dry_run)
        self.preset = PresetCommands(self._session)
        self.key = KeyCommands(self._session)
        self.crashing = CrashingCommands(self._session.output)

    def serve(self) -> None:
        """Run this VM until SIGTERM or Ctrl-C."""
        settings = self._session.settings
        set_up_logging(settings.logging)
        trio.run(functools.partial(_serve, settings))

    @PARSE_AS_TEXT
    def check(self, preset: str = '') -> None:
        """Check the settings file, or a preset file, and report any problem."""
        if preset:
            read_preset(pathlib.Path(preset).stem, preset)
            self._session.output.show(
                {'path': preset, 'problems': []},
                f'{preset}: no problems in the preset',
            )
            return
        name = self._session.settings.vm.name
        self._session.output.show(
            {'path': self._session.path, 'problems': []},
            f'{self._session.path}: no problems in the settings of {name}',
        )

    def status(self) -> None:
        """Show the state of the VM and of its peers on one screen."""
        status = self._session.client.get('/status')
        self._session.output.show(status, *status_lines(status))

    @PARSE_AS_TEXT
    def locate(self, block: str = '', region: str = '') -> None:
        """Show the entry VMs that a caller is directed to."""
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
        self._session.output.show(answer, *lines, f'valid for {lifetime_s} s')

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

    @PARSE_AS_TEXT
    def explain(self, request: str, *logs: str) -> None:
        """Explain from the logs of edge VMs what happened to a request.

        Without log files, standard input is read.
        """
        texts = itertools.chain.from_iterable(
            pathlib.Path(path).read_text(encoding='utf-8').splitlines()
            for path in logs
        )
        trace = request_trace.trace_request(
            texts if logs else sys.stdin, request
        )
        self._session.output.show(
            {'reason': trace.reason, **attrs.asdict(trace)},
            *(request_trace.format_event(line) for line in trace.background),
            *(request_trace.format_event(line) for line in trace.lines),
            f'{request}: {trace.reason}',
        )

    @PARSE_AS_TEXT
    def declare_dead(self, vm: str) -> None:
        """Stop waiting for a VM that is certain to have stopped.

        For use in a platform outage: while a VM is silent, requests with a
        key are refused, as the VM may have accepted the withdrawal of a key.
        Afterwards, repeat the withdrawals that were made through that VM.
        """
        answer = self._session.client.post('/dead', {'vm': vm})
        self._session.output.show(
            answer, f'{vm} is declared dead and no longer waited for'
        )

    @PARSE_AS_TEXT
    def drain(self, target: str) -> None:
        """Stop sending new work to a VM, upstream, failure domain or region."""
        self._session.change_sender.change('start_drain', {'target': target})

    @PARSE_AS_TEXT
    def undrain(self, target: str) -> None:
        """End the drain of a target, so that it gets new work again."""
        self._session.change_sender.change('end_drain', {'target': target})


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
    fields = ' '.join(f'{name}={part}' for name, part in parts.items())
    head = ' '.join(
        str(event[name]) for name in ('timestamp', 'vm', 'number', 'name')
    )
    return f'{head} {fields}'
