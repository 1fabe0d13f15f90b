"""Commands on requests that edge VMs refuse since upstreams end under them."""

import httpx
from fire.decorators import SetParseFn

from chestnutshift.management.actions import deferred
from chestnutshift.management.exceptions import RemoteError, UnreachableError
from chestnutshift.management.output import Output, table

PATH = '/crashing-requests'
TIMEOUT_S = 5.0


# fire would parse a fingerprint of digits as a number.
PARSE_AS_TEXT = SetParseFn(str)


@deferred
class CrashingCommands:
    """Show and allow requests that are refused as crashing."""

    def __init__(self, output: Output) -> None:
        """Create the commands for an output format."""
        self._output = output

    @PARSE_AS_TEXT
    def list(self, address: str) -> None:
        """List what an edge VM refuses, by its metrics address and port."""
        document = _call('GET', address)
        header = ('fingerprint', 'ends', 'refused for', 'request')
        rows = [
            (
                row['fingerprint'],
                f'{row["ends"]}',
                f'{row["refused_for_s"]} s',
                row['label'],
            )
            for row in document['refused']
        ]
        self._output.show(document, *table([header, *rows]))

    @PARSE_AS_TEXT
    def allow(self, address: str, fingerprint: str) -> None:
        """Let a refused request run again, at all VMs within a second."""
        document = _call('DELETE', address, f'/{fingerprint}')
        self._output.show(document, f'{fingerprint} is allowed')


def _call(method: str, address: str, suffix: str = '') -> dict:
    url = f'http://{address}{PATH}{suffix}'
    with httpx.Client(trust_env=False, timeout=TIMEOUT_S) as client:
        try:
            answer = client.request(method, url)
        except httpx.HTTPError as error:
            raise UnreachableError(f'{url}: {error!r}') from error
    if not answer.is_success:
        raise RemoteError('crashing.unknown', f'{url}: no such request')
    return answer.json()
