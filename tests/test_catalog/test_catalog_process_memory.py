"""What is known of processes outlives their registry entries, within a bound."""

from __future__ import annotations

import attrs
import pytest

from cicadacourse.catalog import Endpoint, EndpointRegistry, ProcessKey, ProcessMemory

ENDPOINT = Endpoint("e", "engines", "10.9.0.1:1", "a", 8, started_ms=1000)
WITHOUT_START = attrs.evolve(ENDPOINT, started_ms=None)
MAX_PROCESSES = 3


@pytest.fixture
def registry() -> EndpointRegistry:
    return EndpointRegistry()


@pytest.fixture
def dropped() -> list[str]:
    return []


@pytest.fixture
def memory(registry, dropped) -> ProcessMemory[str]:
    return ProcessMemory(
        registry, MAX_PROCESSES, lambda process, _: dropped.append(str(process))
    )


def test_an_entry_without_a_start_keeps_the_known_one(registry):
    registry.put(ENDPOINT)
    registry.put(attrs.evolve(WITHOUT_START, slots=4))
    assert registry.find("e") == attrs.evolve(ENDPOINT, slots=4)
    registry.remove("e")
    registry.put(WITHOUT_START)
    assert registry.find("e").started_ms is None


def test_an_entry_without_a_start_may_be_of_the_newest_process(memory):
    memory.put(ProcessKey("e", 2000), "second")
    memory.put(ProcessKey("e", 1000), "first")
    assert memory.find(WITHOUT_START) == "second"
    assert memory.find(ENDPOINT) == "first"
    assert memory.find(attrs.evolve(ENDPOINT, started_ms=3000)) is None
    assert memory.find(attrs.evolve(WITHOUT_START, id="f")) is None


@pytest.mark.parametrize(
    ("listed", "is_kept"),
    [(WITHOUT_START, True), (None, False), (ENDPOINT, False)],
)
def test_a_process_of_unknown_start_is_known_as_long_as_its_entry(
    registry, memory, listed, is_kept
):
    memory.put(WITHOUT_START.process, "known")
    if listed is not None:
        registry.put(listed)
    assert memory.pop_ended(WITHOUT_START) == (None if is_kept else "known")
    assert len(memory) == is_kept


@pytest.mark.parametrize("listed", [None, attrs.evolve(ENDPOINT, started_ms=2000)])
def test_no_entry_ends_a_process_of_known_start(registry, memory, listed):
    memory.put(ENDPOINT.process, "known")
    if listed is not None:
        registry.put(listed)
    assert memory.pop_ended(ENDPOINT) is None
    assert memory.find(ENDPOINT) == "known"


def test_a_process_without_an_entry_is_dropped_before_a_listed_one(
    registry, memory, dropped
):
    for number in range(MAX_PROCESSES):
        endpoint = attrs.evolve(ENDPOINT, id=f"e{number}")
        if number != 1:
            registry.put(endpoint)
        memory.put(endpoint.process, "known")
        memory.put(endpoint.process, "known again")
    registry.put(attrs.evolve(ENDPOINT, id="e3"))
    memory.put(ProcessKey("e3", 1000), "known")
    registry.put(attrs.evolve(ENDPOINT, id="e4"))
    memory.put(ProcessKey("e4", 1000), "known")
    assert dropped == ["e1@1000", "e0@1000"]
    assert len(memory) == MAX_PROCESSES
    assert memory.pop(ProcessKey("e0", 1000)) is None
