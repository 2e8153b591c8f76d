"""A part of prompts that crashes engines, over the platform's protocol."""

from __future__ import annotations

import asyncio

from standins.ports import next_host
from tests.platform_fleet import Caller, make_instance, running_fleet, running_instance

ENGINES = 8
MAX_LOST = 4
TOKENS = "2000,92"


def parts(*ids: str) -> str:
    """Returns the header value of a prompt with shared parts and one of its own."""
    return ",".join(f"{id}:500" for id in (*ids, "own"))


async def test_requests_with_a_part_that_crashes_engines_are_stopped() -> None:
    """Requests with it were sent on and retried until no engine was left."""
    async with running_fleet(engines=ENGINES, plain_services=0) as fleet:
        for endpoint in fleet.endpoint_by_id.values():
            endpoint.worker.crashing_part_ids = {"bad"}
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            for _ in range(12):
                sound, bad = await asyncio.gather(
                    *(
                        caller.request(
                            "/ask/x",
                            TOKENS,
                            X_Cicadacourse_Prompt_Prefix=parts("first", part),
                        )
                        for part in ("sound", "bad")
                    )
                )
                assert not (bad.status == 200 and bad.is_complete)
            lost = len(fleet.crashed_at)
            assert 1 <= lost <= MAX_LOST
            assert sound.status == 200 and sound.is_complete
