"""A request's story is told from the logs of several VMs."""

import json

from chestnutshift.logs.explaining import RequestNotFoundError, explain


def make_line(name: str, timestamp: int, vm: str = 'vm-1', **facts) -> str:
    """Return a log line as the bench prints it, with a prefix."""
    line = {
        'at': float(timestamp),
        'timestamp': timestamp,
        'vm': vm,
        'level': 'info',
        'event': 1,
        'name': name,
        **facts,
    }
    return f' 3.05 vm-1 {json.dumps(line)}\n'


LINES = (
    make_line('store.lost', 5, source='operators'),
    make_line('store.lost', 6, vm='vm-2', source='operators'),
    'Traceback of something else\n',
    make_line('request.sent', 9, request='r-1', upstream='i-1')[:-9],
    make_line(
        'request.turned_down',
        11,
        request='r-1',
        status=503,
        code='keys.stale',
        detail='too old',
    ),
    make_line('request.sent', 10, request='r-1', upstream='i-1'),
    make_line('request.sent', 10, request='r-2', upstream='i-1'),
)


def test_story_in_causal_order() -> None:
    """Lines are ordered, others' requests and VMs left out."""
    story = explain(LINES, 'r-1')
    assert [line['name'] for line in story.lines] == [
        'request.sent',
        'request.turned_down',
    ]
    assert [line['vm'] for line in story.background] == ['vm-1']
    assert 'keys.stale' in story.reason


def test_unknown_request() -> None:
    """A request that no line names is a coded error."""
    try:
        explain(LINES, 'r-9')
    except RequestNotFoundError as error:
        assert 'r-9' in error.detail
    else:
        raise AssertionError('found what is not there')
