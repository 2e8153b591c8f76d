"""Tests that fields which a configuration omits take their defaults."""

from __future__ import annotations

import json
import random

import pytest
from returns.result import Failure

from cicadacourse.platform._configuration_reader import (
    ConfigurationDecoder,
    decode_configuration,
)
from cicadacourse.platform._configuration_writer import encode_configuration
from standins.platform import make_configuration

DEFAULT_TIMEOUT_S = 30.0


def _decode(**changes: object):
    return decode_configuration(json.dumps(make_configuration(**changes)).encode())


def test_a_route_without_times_has_the_default_timeout_as_its_objective() -> None:
    row, *_ = make_configuration()["routes"]
    for name in ("timeoutMs", "targetLatencyMs", "gapTargetMs"):
        del row[name]
    (route,) = _decode(routes=[row]).unwrap().routes
    assert route.timeout_s == DEFAULT_TIMEOUT_S
    assert route.target_s == DEFAULT_TIMEOUT_S
    assert route.gap_target_s is None


def test_the_latency_objective_defaults_to_the_timeout() -> None:
    row, *_ = make_configuration()["routes"]
    row["timeoutMs"] = 4000
    del row["targetLatencyMs"]
    (route,) = _decode(routes=[row]).unwrap().routes
    assert (route.timeout_s, route.target_s) == (4.0, 4.0)


def test_the_path_of_health_probes_is_ignored_and_kept() -> None:
    """Endpoints are not probed; the store's rows keep what is unknown here."""
    configuration = make_configuration()
    for path, row in zip((7, "/up"), configuration["services"]):
        row["healthPath"] = path
    catalog = decode_configuration(json.dumps(configuration).encode()).unwrap()
    assert catalog.pools == _decode().unwrap().pools
    encoded = json.loads(encode_configuration(catalog, configuration))
    assert [row["healthPath"] for row in encoded["services"]] == [7, "/up"]


def test_omitted_limits_keep_their_defaults() -> None:
    limits = _decode(limits={"maxBodyBytes": 10}).unwrap().limits
    assert limits.max_body_bytes == 10
    assert limits.header_timeout_s == 10.0
    assert limits.idle_timeout_s == 60.0


@pytest.mark.parametrize("seed", range(10))
def test_a_version_decodes_to_the_same_after_any_other_ones(seed: int) -> None:
    """A row that is taken over from a former version must be the same row."""
    chooser, decoder = random.Random(seed), ConfigurationDecoder()
    template = make_configuration()["routes"][0]
    for version in range(1, 12):
        rows = [
            {
                **template,
                "name": f"r{chooser.randrange(6)}",
                "timeoutMs": chooser.choice([1000, 2000, "odd", None]),
                "allowedRegions": chooser.choice([[], ["east"], ["west", 7]]),
            }
            for _ in range(chooser.randrange(8))
        ]
        rows += chooser.choice([[], ["odd"], [{"name": 7}], [{}]])
        tenants = [{"name": "t", "apiKeys": [f"k{chooser.randrange(3)}"]}]
        configuration = make_configuration(version, routes=rows, tenants=tenants)
        value = json.dumps(configuration).encode()
        assert decoder.decode(value) == decode_configuration(value)
    assert isinstance(decoder.decode(b"[]"), Failure)
