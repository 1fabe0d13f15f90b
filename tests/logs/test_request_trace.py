"""Tests of the trace of a request from the logs of several VMs."""

import json

from chestnutshift.logs.request_trace import RequestNotFoundError, trace_request


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
    make_line('store.returned', 7, source='operators', era=2),
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


def test_trace_in_causal_order() -> None:
    """Lines are in causal order, without other requests and VMs."""
    trace = trace_request(LINES, 'r-1')
    assert [line['name'] for line in trace.lines] == [
        'request.sent',
        'request.turned_down',
    ]
    assert [line['vm'] for line in trace.background] == ['vm-1', 'vm-1']
    assert trace.background[1]['name'] == 'store.returned'
    assert 'keys.stale' in trace.reason


def test_unknown_request() -> None:
    """A request without log lines raises a coded error."""
    try:
        trace_request(LINES, 'r-9')
    except RequestNotFoundError as error:
        assert 'r-9' in error.detail
    else:
        raise AssertionError('found a request without log lines')


def test_request_that_crossed_to_a_peer() -> None:
    """Both VMs are shown; the end is that at the VM that the caller came to."""
    lines = (
        make_line('upstreams.cut_off', 1, unanswered=3),
        make_line('request.passed_on', 10, request='r-1', peer='vm-2'),
        make_line('request.taken_over', 11, vm='vm-2', request='r-1'),
        make_line('request.ended', 12, request='r-1', status=200),
        make_line('request.ended', 13, vm='vm-2', request='r-1', status=200),
    )
    trace = trace_request(lines, 'r-1')
    assert {line['vm'] for line in trace.lines} == {'vm-1', 'vm-2'}
    assert trace.background[0]['name'] == 'upstreams.cut_off'
    assert trace.reason == 'vm-1 forwarded status 200'
