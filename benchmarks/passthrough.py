"""A pass-through proxy made of the gateway's HTTP components: the baseline for the cost of scheduling.

It has the same listener, connections, parser, pool and attempts, but no scheduler, request checks or access
log.

    python benchmarks/passthrough.py STORE_PORT [STORE_PORT ...]      prints its port
"""

from __future__ import annotations

import dataclasses
import sys

import anyio

from winchdyke.config import defaults, parse
from winchdyke.gateway import logs
from winchdyke.gateway.attempts import Attempt, OutgoingRequest
from winchdyke.gateway.bodies import BodyStore, ReplayBody
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.daemon import Gateway
from winchdyke.http1 import RequestHead
from winchdyke.object_api import answers


class PassThrough:
    """Replaces the gateway's service: forwards each request to a store chosen by the hash of its path."""

    def __init__(self, gateway: Gateway, nodes: list[str]) -> None:
        self.nodes, self.pool, self.limits = nodes, gateway.pool, gateway.config.limits
        self.clock = gateway.scheduler_loop.clock
        self.bodies = BodyStore(1 << 30, 1 << 18)
        self.stopping, self.active_requests, self.recorder = False, 0, None
        self.byte_meter = gateway.service.byte_meter  # settled by the gateway's periodic sweep

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Forward a request to its store and the response to the client."""
        connection.begin_request([], close=False)
        connection.declared_body_bytes = head.length
        body = None
        if head.length != 0:
            body = ReplayBody(connection.read_body, head.length, self.bodies, replayable=False)
        node = self.nodes[hash(head.target) % len(self.nodes)]
        attempt = Attempt(self.pool, self.clock, 30_000.0, connection, lambda: None, lambda _: True)
        ended = await attempt.run(
            node, OutgoingRequest(head.method, head.target, head.headers, body), 30_000.0
        )
        if ended.response is not None:
            await connection.respond_from_upstream(ended.response.head, ended.response.body)
        elif not ended.streamed:
            await connection.respond(*answers.error(502, "failed", "store-reset", "-", ""))


async def main(ports: list[str]) -> None:
    logs.configure("none")
    config = parse(defaults(), "defaults.conf")
    nodes = dataclasses.replace(config.nodes, must_ask=True)
    gateway = Gateway(dataclasses.replace(config, nodes=nodes))
    gateway.service = PassThrough(gateway, [f"127.0.0.1:{port}" for port in ports])
    gateway.discovery.request_poll = gateway.scheduler_loop.on_watch_endpoints = lambda: None  # type: ignore[method-assign]
    await gateway.run(lambda: print(gateway.address[1], flush=True))


if __name__ == "__main__":
    anyio.run(main, sys.argv[1:])
