"""Tests of the numbers in heads of requests and answers."""

import math

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.forwarding.problems import RefusalError
from chestnutshift.platform.heads import DEADLINE_MAX_MS, PlatformDialect
from chestnutshift.platform.names import COLD_MS, DEADLINE, LOAD, REQUEST_ID
from chestnutshift.steering.upstreams import LoadReport

DIALECT = PlatformDialect()
HTTP_BAD_REQUEST = 400
# What builds up to 1b436a5 read of a number in a head.
OLDER_CHARACTERS_MAX = 12


def _read_request(*headers: tuple[bytes, bytes]) -> InboundRequest:
    scope = {
        'method': 'POST',
        'raw_path': b'/a/',
        'query_string': b'',
        'headers': [(REQUEST_ID, b'r-1'), *headers],
    }
    return DIALECT.read_request(scope)


# Guards against a caller that is refused for how it prints its deadline.
@params(
    (b'4000', 4), (b'1333.3333333333333', 1333.3333333333333 / 1000),
    (b'4e3', 4), (b'4000.0', 4), (b'0000000000000004000', 4), (b'0', 0),
    (b'9' * 400, DEADLINE_MAX_MS / 1000),
)  # fmt: skip
def test_deadlines(text: bytes, timeout_s: float) -> None:
    """Any notation counts; a huge one is cut."""
    assert _read_request((DEADLINE, text)).timeout_s == timeout_s


@params(b'-5', b'soon', b'inf', b'nan', b'', b'1 000', b'4000ms')
def test_malformed_deadlines(text: bytes) -> None:
    """The request is refused as malformed."""
    try:
        _read_request((DEADLINE, text))
    except RefusalError as error:
        assert error.problem.status == HTTP_BAD_REQUEST
    else:
        raise AssertionError(f'{text!r} was read')


# Guards against another framing of a body for zeros before its length.
@params((b'5', 5), (b'0000000000000005', 5), (b'+5', None), (b'5.0', None))
def test_length_of_a_body(text: bytes, length_b: int | None) -> None:
    """It is digits alone."""
    assert _read_request((b'content-length', text)).length_b == length_b


# Guards against a load or cold time that is dropped for its notation.
def test_load_and_cold_time() -> None:
    """Whole numbers may have a fraction of 0, times any fraction."""
    headers = [(LOAD, b'3.0, 1,8'), (COLD_MS, b'1333.3333333333333')]
    facts = DIALECT.read_answer(headers)
    assert facts.load == LoadReport(3, 1, 8)
    assert math.isclose(facts.cold_s, 4 / 3)
    assert not facts.malformed_headers


@params(b'3.5,1,8', b'3,1', b'3,1,8,0', b'-3,1,8', b'3,1,1e13', b'a,b,c')
def test_malformed_loads(text: bytes) -> None:
    """They are told, and count as none."""
    facts = DIALECT.read_answer([(LOAD, text)])
    assert facts.load is None
    assert set(facts.malformed_headers) == {LOAD.decode()}


# Guards against a hop that an older build refuses, for a number that is longer
# than it reads.
@given(st.floats(0, allow_nan=False, allow_infinity=False))
def test_older_builds_read_what_is_written(duration_s: float) -> None:
    """Deadlines and times to come back are cut to twelve characters."""
    request = _read_request()
    outbound = DIALECT.write_crossing(request, [], duration_s, None)
    deadline = dict(outbound.headers)[DEADLINE]
    assert len(deadline) <= OLDER_CHARACTERS_MAX
    assert deadline.isdigit()
    answer = dict(DIALECT.refusal_headers('r-1', duration_s))
    assert len(answer[b'retry-after']) <= OLDER_CHARACTERS_MAX
