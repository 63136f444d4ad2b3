"""Labels come from the engine's own words, or not at all."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.backendrequest import StreamVersionReader
from gypsumshift.dialects import DIALECTS
from gypsumshift.labels import Labeller

PIECES = st.lists(st.tuples(st.integers(0, 3), st.one_of(st.none(), st.integers(1, 3))))


@given(PIECES, st.one_of(st.none(), st.integers(1, 3)), st.integers(1, 3))
def test_spans_say_what_the_engine_said_of_each_token(pieces, before, after):
    labeller = Labeller(before)
    truth = []
    for tokens, version in pieces:
        labeller.add_tokens(tokens, version)
        truth += [version] * tokens
    spans = labeller.final_spans(after)
    if spans is None:
        assert None in truth
        return
    told = [span.version for span in spans for _ in range(span.first, span.last)]
    assert len(told) == len(truth)
    if None in truth:
        assert set(truth) == {None} and before == after and set(told) == {after}
    else:
        assert told == truth


def test_bare_tokens_across_a_swap_are_in_doubt():
    labeller = Labeller(before=1)
    labeller.add_tokens(3, None)
    assert labeller.final_spans(after=2) is None


def test_a_half_labelled_stream_is_in_doubt():
    labeller = Labeller(before=1)
    labeller.add_tokens(2, 1)
    labeller.add_tokens(2, None)
    assert labeller.final_spans(after=1) is None


@given(st.integers(1, 200))
def test_events_cut_anywhere_are_read_the_same(cut):
    data = b"".join(
        b'data: {"choices": [{"token_ids": [%d]}],' % number
        + b' "metadata": {"weight_version": "%d"}}\n\n' % (1 + number // 2)
        for number in range(4)
    )
    reader = StreamVersionReader(DIALECTS["sglang"], Labeller(None))
    for start in range(0, len(data), cut):
        reader.feed(data[start : start + cut])
    spans = [(s.first, s.last, s.version) for s in reader.spans(None)]
    assert spans == [(0, 2, 1), (2, 4, 2)]


def test_each_dialect_reads_its_own_state():
    vllm = b'vllm:num_requests_running 3\nvllm:info{weight_version="7"} 1\n'
    state = DIALECTS["vllm"].parse_state(200, vllm)
    assert (state.healthy, state.running, state.version) == (True, 3, 7)
    sglang = b'{"weight_version": "8", "internal_states": [{"num_running_reqs": 2}]}'
    state = DIALECTS["sglang"].parse_state(200, sglang)
    assert (state.healthy, state.running, state.version) == (True, 2, 8)
    assert DIALECTS["plain"].parse_state(200, b'{"running": 1}').running == 1


def test_garbage_in_place_of_state_is_ill_health_not_a_crash():
    for name in ("vllm", "sglang"):
        for body in (b"", b"\xff\x00{", b"[1, 2]", b'{"internal_states": 7}'):
            state = DIALECTS[name].parse_state(500, body)
            assert not state.healthy
