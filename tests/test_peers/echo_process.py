"""An instance that answers pings, as a process: ``echo_process NAME PORT``."""

from __future__ import annotations

import asyncio
import sys

import capnp

from cicadacourse.application import Application, Service
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.membership import Member
from cicadacourse.membership._messages import Ack, Ping
from cicadacourse.peers import CapnpPeers, PeersSettings, handles
from cicadacourse.resources import Resources
from cicadacourse.util.clock import BoottimeEventLoop

SENDER = Member("e1", "127.0.0.1:1")
ACK = Ack(sender=SENDER)


def ping(target: str = "", deltas: tuple[Member, ...] = ()) -> Ping:
    """Returns a message to call with."""
    return Ping(sender=SENDER, target=target, deltas=deltas)


class Echo(Service):
    """Answers pings, after as many seconds as the target says, if any."""

    name = "echo"

    @handles(Ping)
    async def on_ping(self, request):
        if request.target:
            await asyncio.sleep(float(request.target))
        return Ack(sender=SENDER, deltas=request.deltas)


def build(name: str, port: int, settings: PeersSettings | None = None) -> Application:
    """Returns an application that listens for peers on a port."""
    instance = InstanceSettings(
        name=name,
        failure_domain="a",
        caller_address="127.0.0.1:1",
        peer_address=f"127.0.0.1:{port}",
    )
    app = Application(Settings(instance, settings or PeersSettings()))
    app.add_service(Resources(app))
    app.add_service(CapnpPeers(app))
    app.add_service(Echo(app))
    return app


async def serve(name: str, port: int) -> None:
    """Runs the instance until the process ends."""
    async with capnp.kj_loop(), build(name, port).running():
        print("ready", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        runner.run(serve(sys.argv[1], int(sys.argv[2])))
