"""Tests of the stand-ins as programs, over HTTP."""

from __future__ import annotations

import base64
import contextlib
import json
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from standins.engine import expected_text

START_TIMEOUT_S = 30


def free_address():
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


def call(address, method, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            lines = answer.read().decode().splitlines()
            return answer.status, [json.loads(line) for line in lines]
    except urllib.error.HTTPError as error:
        return error.code, [json.loads(error.read())]


@contextlib.contextmanager
def program(name, *options):
    address = free_address()
    command = [sys.executable, "-m", f"standins.{name}", "--address", address]
    process = subprocess.Popen([*command, *options])
    try:
        wait_until_served(address)
        yield address
    finally:
        process.terminate()
        assert process.wait(timeout=START_TIMEOUT_S) == 0


def wait_until_served(address):
    stop = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return call(address, "GET", "/health")
        except (ConnectionError, urllib.error.URLError):
            assert time.monotonic() < stop
            time.sleep(0.05)


def test_an_engine_registers_and_serves_whole_answers():
    with program("instance_list", "--lag-s", "0") as listed:
        options = ("--list-address", listed, "--name", "e1", "--group", "g")
        with program("engine", *options) as engine:
            body = {"session": "s", "request": "r", "prompt": "hello", "max_tokens": 3}
            status, lines = call(engine, "POST", "/sessions", body)
            assert status == 200 and lines[-1]["end"]
            text = "".join(line["text"] for line in lines[:-1])
            assert text == expected_text("hello", 3)
            assert call(engine, "POST", "/sessions", body)[0] == 409
            status, resumed = call(engine, "GET", "/sessions/s/stream?position=1")
            assert [line["position"] for line in resumed] == [1, 3]
            assert call(engine, "DELETE", "/sessions/s")[0] == 200
            assert call(engine, "GET", "/sessions/s/stream")[0] == 404
            order = {"token": 3, "holder": "i", "model": "m", "model_version": 2}
            assert call(engine, "POST", "/orders", order)[1][0]["loading"]
            old = {**order, "token": 2}
            assert call(engine, "POST", "/orders", old)[1][0]["last_token"] == 3
            stop = time.monotonic() + START_TIMEOUT_S
            while not (rows := call(listed, "GET", "/instances")[1][0]["instances"]):
                assert time.monotonic() < stop
            assert [(row["name"], row["address"]) for row in rows] == [("e1", engine)]


def test_a_log_keeps_records_and_shows_outages():
    with program("log") as log:
        record = base64.b64encode(b"x").decode()
        _, answers = call(log, "POST", "/streams/a", {"records": [record]})
        assert answers[0]["records"][0]["offset"] == 0
        _, answers = call(log, "GET", "/streams/a?offset=0&limit=5&wait_s=1")
        assert answers[0]["records"][0]["body"] == record
        call(log, "POST", "/faults", {"fault": "outage"})
        status, answers = call(log, "POST", "/streams/a", {"records": [record]})
        assert (status, answers[0]["run"]) == (503, "not_run")


def test_a_service_and_a_weight_store_answer():
    with program("service", "--name", "s1") as service:
        body = {"request": "r", "attempt": 1, "organisation": "o", "body": {"a": 1}}
        assert call(service, "POST", "/calls", body)[1][0]["request"] == "r"
        assert call(service, "GET", "/runs")[1] == [{"runs": {"r": 1}}]
    with program("weight_store", "--burst", "1") as store:
        assert call(store, "GET", "/weights/m/1")[0] == 200
        assert call(store, "GET", "/weights/m/1")[0] == 429
