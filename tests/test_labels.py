"""Weight versions of tokens are those that the engine reported, or unknown."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.backendrequest import StreamVersionReader
from gypsumshift.dialects import DIALECTS
from gypsumshift.labels import Labeller

TOKEN_EVENTS = st.lists(
    st.tuples(st.integers(0, 3), st.one_of(st.none(), st.integers(1, 3)))
)


@given(TOKEN_EVENTS, st.one_of(st.none(), st.integers(1, 3)), st.integers(1, 3))
def test_spans_give_each_token_the_version_that_the_engine_reported(
    events, before, after
):
    labeller = Labeller(before)
    reported = []
    for tokens, version in events:
        labeller.add_tokens(tokens, version)
        reported += [version] * tokens
    spans = labeller.final_spans(after)
    if spans is None:
        assert None in reported
        return
    labelled = [span.version for span in spans for _ in range(span.first, span.last)]
    assert len(labelled) == len(reported)
    if None in reported:
        assert set(reported) == {None} and before == after and set(labelled) == {after}
    else:
        assert labelled == reported


def test_tokens_without_version_are_not_labelled_across_a_swap():
    labeller = Labeller(before=1)
    labeller.add_tokens(3, None)
    assert labeller.final_spans(after=2) is None


def test_a_stream_with_versions_on_some_tokens_only_is_not_labelled():
    labeller = Labeller(before=1)
    labeller.add_tokens(2, 1)
    labeller.add_tokens(2, None)
    assert labeller.final_spans(after=1) is None


@given(st.integers(1, 200))
def test_events_split_at_any_byte_give_the_same_spans(cut):
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


def test_each_dialect_parses_its_own_state():
    vllm = b'vllm:num_requests_running 3\nvllm:info{weight_version="7"} 1\n'
    state = DIALECTS["vllm"].parse_state(200, vllm)
    assert (state.healthy, state.running, state.version) == (True, 3, 7)
    sglang = b'{"weight_version": "8", "internal_states": [{"num_running_reqs": 2}]}'
    state = DIALECTS["sglang"].parse_state(200, sglang)
    assert (state.healthy, state.running, state.version) == (True, 2, 8)
    assert DIALECTS["plain"].parse_state(200, b'{"running": 1}').running == 1


def test_an_unreadable_state_is_parsed_as_unhealthy():
    for name in ("vllm", "sglang"):
        for body in (b"", b"\xff\x00{", b"[1, 2]", b'{"internal_states": 7}'):
            state = DIALECTS[name].parse_state(500, body)
            assert not state.healthy
