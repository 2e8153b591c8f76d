"""Random faults of engines, several at a time, while streams run."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadacourse.entry import _generate, _relay
from cicadacourse.util.clock import now
from standins.engine import expected_text
from tests.entry_instance import MemorySink, World, request_body, running_instance

ENGINES = 3
MAX_TOKENS = 60
LAST_CHANGE_S = 4.0
FAULTS = [
    ("silence", True),
    ("crossed", True),
    ("duplicated", True),
    ("cut_after_lines", 2),
    ("dribble_s", 0.5),
    ("late_s", 2.0),
    ("refuse", True),
    ("crash", True),
    ("clear", True),
    ("clear", True),
]


@attrs.frozen
class Change:
    """A fault that an engine shows from a time on."""

    at_s: float
    engine: int
    fault: tuple[str, object]

    def apply(self, world: World) -> None:
        core = world.engines[f"e{self.engine}"]
        name, value = self.fault
        if name == "crash":
            core.crash()
        elif name == "clear":
            core.faults.clear()
        else:
            core.faults.set(name, value)


CHANGES = st.lists(
    st.builds(
        Change,
        at_s=st.floats(0, LAST_CHANGE_S),
        engine=st.integers(0, ENGINES - 1),
        fault=st.sampled_from(FAULTS),
    ),
    max_size=8,
)


@attrs.frozen
class Asked:
    """One request of the history."""

    at_s: float
    time_limit_s: float


ASKED = st.lists(
    st.builds(
        Asked,
        at_s=st.floats(0, LAST_CHANGE_S),
        time_limit_s=st.sampled_from([0.2, 1.0, 5.0, 30.0]),
    ),
    min_size=1,
    max_size=5,
)


async def run_history(changes, asked):
    """Serves the requests under the changes; returns what each caller got.

    Fails unless every engine's memory is free in the end.
    """
    world = World.make(engines=ENGINES)
    async with running_instance(world) as app:
        loop = asyncio.get_running_loop()
        for change in changes:
            loop.call_later(change.at_s, change.apply, world)
        served = await asyncio.gather(
            *(serve_at(app, index, item) for index, item in enumerate(asked))
        )
        await asyncio.sleep(LAST_CHANGE_S)
        for core in world.engines.values():
            core.faults.clear()
        await asyncio.sleep(40)
        assert await world.kv_used() == 0
    return served


async def serve_at(app, index, item):
    await asyncio.sleep(item.at_s)
    sink, started = MemorySink(), now()
    body = request_body(
        request_id=f"r{index}",
        prompt=f"question {index}",
        max_tokens=MAX_TOKENS,
        time_limit_s=item.time_limit_s,
    )
    await app.get("entry").path.serve(body, started, sink)
    return sink, sink.ended_at - started


def check_history(asked, served):
    """Each answer is whole and its own, or its error is in time and truthful."""
    for index, (item, (sink, took_s)) in enumerate(zip(asked, served)):
        whole = expected_text(f"question {index}", MAX_TOKENS)
        assert took_s <= item.time_limit_s + 1e-6
        assert all(line["request"] == f"r{index}" for line in sink.lines)
        assert whole.startswith(sink.text)
        if sink.ended:
            assert sink.text == whole
        else:
            run = sink.final_error["run"]
            assert run in ("failed", "not_run")
            assert run == "failed" or not sink.text


def play(changes, asked):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        check_history(asked, runner.run(run_history(changes, asked)))


@settings(max_examples=60)
@given(changes=CHANGES, asked=ASKED)
def test_any_history_of_faults_gives_whole_own_or_truthful_answers(changes, asked):
    play(changes, asked)


class TrustingCheck(_relay.AnswerCheck):
    """Passes every line on, as a relay without checks would."""

    def _reason_to_drop(self, line, session, attempt):
        return ""


@pytest.mark.parametrize("fault", [("crossed", True), ("duplicated", True)])
def test_a_relay_without_checks_fails_on_a_history(fault, monkeypatch):
    monkeypatch.setattr(_generate, "AnswerCheck", TrustingCheck)
    changes = [Change(0, index, fault) for index in range(ENGINES)]
    with pytest.raises(AssertionError):
        play(changes, [Asked(0.5, 30.0)])


@pytest.mark.parametrize("releases", [True, False])
def test_only_released_sessions_leave_no_memory_held(releases, monkeypatch):
    async def keep(*args):
        await asyncio.sleep(0)

    monkeypatch.setattr("tests.test_entry.test_entry_random.MAX_TOKENS", 4000)
    if not releases:
        monkeypatch.setattr("standins.direct.DirectEndpointClient.release", keep)
    expected = contextlib.nullcontext() if releases else pytest.raises(AssertionError)
    with expected:
        play([], [Asked(0.5, 1.0)] * 5)
