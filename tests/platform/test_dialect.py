"""Test the decoding of headers that have grown further figures.

A service that added a fourth figure to its load lost all of its reports.
"""

import pytest

from cassiarail.edge.dialect import ReportedLoad, RequestError
from cassiarail.http1.messages import RequestHead, ResponseHead
from cassiarail.platform.dialect import PlatformDialect


def decode_load(text):
    head = ResponseHead(200, b'', [(b'x-cassiarail-server-load', text)])
    return PlatformDialect().decode_response(head).load


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        (b'3,1,8', ReportedLoad(3, 1, 8)),
        (b'3,1,8,250', ReportedLoad(3, 1, 8, 2.5)),
        (b'3, 1, 8, 62.5', ReportedLoad(3, 1, 8, 0.625)),
        (b'3,1,8,250,7,x', ReportedLoad(3, 1, 8, 2.5)),
        (b'3,1,8,', ReportedLoad(3, 1, 8)),
        (b'3,1,8,nan', ReportedLoad(3, 1, 8)),
        (b'3,1,8,-5', ReportedLoad(3, 1, 8)),
        (b'3,1,8,0', ReportedLoad(3, 1, 8)),
        (b'3,1', None),
        (b'a,1,8,100', None),
    ],
)
def test_further_figures_of_a_load_hide_none_of_the_others(text, load):
    assert decode_load(text) == load


@pytest.mark.parametrize(
    ('text', 'counts'),
    [(b'10,20', (10, 20)), (b'10', (10, 0)), (b'10,20,30', (10, 20))],
)
def test_further_figures_of_a_token_count_are_ignored(text, counts):
    head = RequestHead(
        b'POST',
        b'/',
        [
            (b'x-cassiarail-request-id', b'r'),
            (b'x-cassiarail-token-count', text),
        ],
    )
    request = PlatformDialect().decode_request(head)
    assert (request.prompt_tokens, request.output_tokens) == counts


def test_parts_of_a_prompt_keep_their_tokens():
    head = RequestHead(
        b'POST',
        b'/',
        [
            (b'x-cassiarail-request-id', b'r'),
            (b'x-cassiarail-prompt-prefix', b'5c:800,91:410,e4,f0:x'),
            (b'x-cassiarail-length-hint', b'31'),
        ],
    )
    request = PlatformDialect().decode_request(head)
    assert request.prefix_parts == ('5c', '91', 'e4', 'f0')
    assert request.part_tokens == (800, 410, 0, 0)
    assert request.length_hint == 31


@pytest.mark.parametrize(
    'text', [b'1' + b'0' * 40 + b',1', b'1,1000000001', b'-5,10', b'5,-1', b'x']
)
def test_a_token_count_out_of_range_is_rejected(text):
    head = RequestHead(
        b'POST',
        b'/',
        [
            (b'x-cassiarail-request-id', b'r'),
            (b'x-cassiarail-token-count', text),
        ],
    )
    with pytest.raises(RequestError):
        PlatformDialect().decode_request(head)
