"""``cicadacourse ask``: send one request as a caller would."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import pathlib
import secrets
import sys
import time
from typing import Any

import attrs

from cicadacourse.caller import COMPLETE, REFUSED, Caller, Reply
from cicadacourse.cmd import EXIT_ERROR, EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN
from cicadacourse.config import parse_addresses
from cicadacourse.util.clock import BoottimeEventLoop

EXIT_BY_OUTCOME = {COMPLETE: EXIT_OK, REFUSED: EXIT_REFUSED}


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse ask",
        description="Look up an instance, send one request, print its answer.",
        epilog="exit status: 0 complete, 1 no prompt, 2 usage, 5 refused (not run), "
        "6 outcome unknown, or it ran and failed",
    )
    add = parser.add_argument
    add(
        "--addresses",
        required=True,
        type=parse_addresses,
        metavar="ADDR,...",
        help="caller addresses of some instances",
    )
    add("--organisation", required=True)
    add("--route", required=True)
    add("--max-tokens", type=int, help="output tokens, for generate routes")
    add("--time-limit-s", type=float, default=60.0, help="default 60")
    add("--once", action="store_true", help="the request may not be repeated")
    add(
        "--key",
        help="key of a request that may run once; 'new' makes one and prints it",
    )
    add("--json", action="store_true", help="print JSON")
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--prompt")
    source.add_argument("--prompt-file", type=pathlib.Path, metavar="FILE")
    return parser


def new_key() -> str:
    """Returns a key whose age every instance can tell."""
    return f"{int(time.time())}-{secrets.token_hex(8)}"


def main(argv: list[str]) -> int:
    """Sends the request and returns the exit status of its outcome."""
    arguments = get_parser().parse_args(argv)
    try:
        fields = _fields(arguments)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{arguments.prompt_file}: {error}", file=sys.stderr)
        return EXIT_ERROR
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        reply = runner.run(_ask(arguments.addresses, fields))
    _print(reply, fields, arguments.json)
    return EXIT_BY_OUTCOME.get(reply.outcome, EXIT_UNKNOWN)


def _fields(arguments: argparse.Namespace) -> dict[str, Any]:
    prompt = arguments.prompt
    if prompt is None:
        prompt = arguments.prompt_file.read_text()
    fields: dict[str, Any] = {
        "organisation": arguments.organisation,
        "route": arguments.route,
        "prompt": prompt,
        "time_limit_s": arguments.time_limit_s,
    }
    if arguments.max_tokens is not None:
        fields["max_tokens"] = arguments.max_tokens
    if arguments.once:
        fields["repeatable"] = False
    if arguments.key:
        fields["key"] = new_key() if arguments.key == "new" else arguments.key
    return fields


async def _ask(addresses: tuple[str, ...], fields: dict[str, Any]) -> Reply:
    with contextlib.closing(Caller(addresses)) as caller:
        return await caller.ask(fields)


def _print(reply: Reply, fields: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps({**attrs.asdict(reply), "key": fields.get("key")}))
        return
    if reply.text:
        print(reply.text)
    if reply.result is not None:
        print(json.dumps(reply.result))
    if reply.outcome != COMPLETE:
        detail = json.dumps(reply.error)
        print(f"{reply.outcome}: {detail}", file=sys.stderr)
    if fields.get("key"):
        print(f"key: {fields['key']}", file=sys.stderr)
