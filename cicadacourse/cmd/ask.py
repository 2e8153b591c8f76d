"""``cicadacourse ask``: send one request as a caller would."""

from __future__ import annotations

import argparse
import pathlib
import sys

import attrs
from returns.result import Failure, Success

from cicadacourse.cmd import EXIT_ERROR, EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN
from cicadacourse.cmd._arguments import addresses_argument
from cicadacourse.cmd._output import print_json, run_coroutine
from cicadacourse.platform import Caller, RequestOutcome, RequestSpec


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse ask",
        description="Look up an instance, send one request, print the response.",
        epilog="exit status: 0 complete, 1 no instance found or unreadable body file, "
        "2 usage, 5 refused (not run), 6 outcome unknown, or it ran and failed",
    )
    add = parser.add_argument
    add(
        "--directories",
        required=True,
        type=addresses_argument,
        metavar="ADDR,...",
        help="addresses at which instances are looked up",
    )
    add("--host", required=True, help="host of the route")
    add("--path", required=True, help="path, with its query")
    add("--method", default="POST", help="default POST")
    add("--key", help="the organisation's key, unless the route is public")
    add("--model", default="", help="for model engines: the model's name")
    add("--prompt-tokens", type=int, help="for model engines: size of the prompt")
    add("--max-tokens", type=int, default=256, help="for model engines, default 256")
    add("--time-limit-s", type=float, default=60.0, help="default 60")
    add(
        "--json",
        action="store_true",
        help="print the outcome as JSON instead of the body",
    )
    source = parser.add_mutually_exclusive_group()
    source.add_argument("--body", default="")
    source.add_argument("--body-file", type=pathlib.Path, metavar="FILE")
    return parser


def main(argv: list[str]) -> int:
    """Sends the request and returns the exit status for its outcome."""
    arguments = get_parser().parse_args(argv)
    try:
        body = _read_body(arguments)
    except OSError as error:
        print(f"{arguments.body_file}: {error}", file=sys.stderr)
        return EXIT_ERROR
    spec = RequestSpec(
        host=arguments.host,
        path=arguments.path,
        method=arguments.method,
        body=body,
        key=arguments.key,
        model=arguments.model,
        prompt_tokens=arguments.prompt_tokens,
        max_output_tokens=arguments.max_tokens,
        time_limit_s=arguments.time_limit_s,
    )
    return run_coroutine(_ask(arguments, spec))


def _read_body(arguments: argparse.Namespace) -> bytes:
    if arguments.body_file is None:
        return arguments.body.encode()
    return arguments.body_file.read_bytes()


async def _ask(arguments: argparse.Namespace, spec: RequestSpec) -> int:
    write = _discard_part if arguments.json else _print_part
    match await Caller(arguments.directories, write).send_request(spec):
        case Failure(error):
            print(error.detail, file=sys.stderr)
            return EXIT_ERROR
        case Success(RequestOutcome() as outcome):
            _print(outcome, arguments.json)
    return _exit_status(outcome)


def _discard_part(_: bytes) -> None:
    """Ignores a part of the response's body, which ``--json`` does not print."""


def _print_part(part: bytes) -> None:
    sys.stdout.write(part.decode(errors="replace"))
    sys.stdout.flush()


def _print(outcome: RequestOutcome, as_json: bool) -> None:
    if as_json:
        print_json(attrs.asdict(outcome))
        return
    print()
    if not outcome.is_complete:
        detail = f"status {outcome.status or 'none'} {outcome.detail}".rstrip()
        print(f"request {outcome.request_id}: {detail}", file=sys.stderr)


def _exit_status(outcome: RequestOutcome) -> int:
    if outcome.is_complete:
        return EXIT_OK
    return EXIT_UNKNOWN if outcome.has_run else EXIT_REFUSED
