"""Random orders of events that may race, drawn from seeds; the checks use the bytes that stores received."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field

import pytest
from test_crossings_sends import HeldConnects, disconnect
from test_platform_sockets import Harness, read_response, start_harness, wait_until

SEEDS = range(24)
STEP_COUNT = 14


@dataclass
class ClientRequest:
    """One request of one client, with its response and whether the client has disconnected."""

    id: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    response: asyncio.Task[tuple[int, dict[str, str], bytes]]
    disconnected: bool = False


@dataclass
class Scenario:
    """A gateway with the events so far, and the violations of rules that were found."""

    harness: Harness
    held_connects: HeldConnects
    random: random.Random
    requests: list[ClientRequest] = field(default_factory=list)
    steps: list[str] = field(default_factory=list)
    # Requests by store connection and id: received and not answered, and answered.
    pending: list[tuple[asyncio.StreamWriter, str]] = field(default_factory=list)
    answered: list[tuple[asyncio.StreamWriter, str]] = field(default_factory=list)
    # How often the store received the complete request, by id.
    received_counts: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    version: int = 1
    draining: bool = False
    # Requests whose disconnect the gateway noticed before it wrote any of them.
    disconnected_ids: set[str] = field(default_factory=set)

    def on_request(self, writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        name = head.lower().split(b"req-id: ")[1].split(b"\r\n")[0].decode()
        self.received_counts[name] = self.received_counts.get(name, 0) + 1
        if self.draining:
            self.faults.append(f"{name} was sent to a draining store")
        if name in self.disconnected_ids:
            self.faults.append(f"{name} was sent after its client had disconnected")
        self.pending.append((writer, name))

    async def let_events_settle(self) -> None:
        """Let the clients, the gateway and the store process their events."""
        for _ in range(12):
            await asyncio.sleep(0.002)

    async def send_request(self) -> None:
        kind = self.random.choice(["read", "write"])
        data = self.harness.build_request(**{"Req-Kind": kind, "Req-Deadline-Ms": "8000"})
        reader, writer = await self.harness.connect_client()
        writer.write(data)
        name = data.lower().split(b"req-id: ")[1].split(b"\r\n")[0].decode()
        self.requests.append(
            ClientRequest(name, reader, writer, asyncio.ensure_future(read_response(reader)))
        )

    async def disconnect_client(self) -> None:
        waiting = [each for each in self.requests if not each.disconnected and not each.response.done()]
        if not waiting:
            return
        request = self.random.choice(waiting)
        request.disconnected, disconnected_before = True, self.harness.gateway.counts["clients_disconnected"]
        request.response.cancel()
        disconnect(request.writer, self.random.choice(["close", "reset"]))
        await self.let_events_settle()
        if (
            self.harness.gateway.counts["clients_disconnected"] > disconnected_before
            and request.id not in self.received_counts
        ):
            self.disconnected_ids.add(request.id)

    async def finish_connects(self) -> None:
        held, self.held_connects.held = self.held_connects.held, []
        for connection in held:
            if connection.sock.fileno() >= 0:
                connection.on_writable()

    def _pick(self, pairs: list[tuple[asyncio.StreamWriter, str]]) -> tuple[asyncio.StreamWriter, str] | None:
        open_pairs = [pair for pair in pairs if not pair[0].is_closing()]
        return self.random.choice(open_pairs) if open_pairs else None

    async def send_response(self) -> None:
        if (pair := self._pick(self.pending)) is not None:
            self.pending.remove(pair)
            self.answered.append(pair)
            pair[0].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(pair[1]), pair[1].encode())
            )

    async def repeat_response(self) -> None:
        """Send a response a second time, a few milliseconds after the first."""
        if (pair := self._pick(self.answered)) is not None:
            pair[0].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(pair[1]), pair[1].encode())
            )
            self.answered.clear()

    async def reset_store_connection(self) -> None:
        if (pair := self._pick(self.pending)) is not None:
            self.pending = [other for other in self.pending if other[0] is not pair[0]]
            disconnect(pair[0], "reset")

    async def _send_change(self, **changes: object) -> None:
        self.version += 1
        self.harness.send_change(self.version, **changes)
        await wait_until(lambda: self.harness.gateway.discovery.version == self.version)
        await self.let_events_settle()

    async def drain_store(self) -> None:
        await self._send_change(state="terminating")
        self.draining = True

    async def mark_store_ready(self) -> None:
        self.draining = False
        await self._send_change(state="in_service")

    async def restart_store(self) -> None:
        self.draining = False
        await self._send_change(state="in_service", started_ms=self.version)

    async def reload_configuration(self) -> None:
        self.harness.gateway.reload()


STEP_NAMES = (
    "send_request",
    "send_request",
    "disconnect_client",
    "finish_connects",
    "send_response",
    "send_response",
    "repeat_response",
    "reset_store_connection",
    "drain_store",
    "mark_store_ready",
    "restart_store",
    "reload_configuration",
)


async def run_scenario(seed: int, path: object, held_connects: HeldConnects) -> Scenario:
    created: list[Scenario] = []
    async with start_harness(path, lambda *args: created[0].on_request(*args)) as harness:  # type: ignore[arg-type]
        scenario = Scenario(harness, held_connects, random.Random(seed))
        created.append(scenario)
        await scenario.send_request()
        for _ in range(STEP_COUNT):
            step = scenario.random.choice(STEP_NAMES)
            scenario.steps.append(step)
            await getattr(scenario, step)()
            if scenario.random.random() < 0.6:
                await scenario.let_events_settle()
        await scenario.finish_connects()
        held_connects.holding = False
        scenario.steps.append(signal.SIGTERM.name)
        harness.gateway.stop()
        for _ in range(60):
            await scenario.send_response()
            await asyncio.sleep(0.005)
        assert harness.gateway.shutdown.schedule is not None
        await wait_until(lambda: harness.gateway.shutdown.finished.done(), 8.0)
        for request in scenario.requests:
            if request.disconnected:
                continue
            status, _, body = await request.response
            if status == 200 and body != request.id.encode():
                scenario.faults.append(f"{request.id} was served {body!r}")
            request.writer.close()
        if (
            harness.gateway.scheduler_loop.open_requests
            or harness.gateway.scheduler_loop.disconnected_requests
            or harness.gateway.scheduler_loop._scheduler.requests
        ):
            scenario.faults.append("the gateway still has open requests")
        if harness.gateway.counts["sent_late_after_disconnect"]:
            scenario.faults.append("the gateway counted a request sent late after a disconnect")
    return scenario


@pytest.mark.parametrize("seed", SEEDS)
def test_random_event_order_violates_no_rule(tmp_path, monkeypatch, seed):
    scenario = asyncio.run(run_scenario(seed, tmp_path, HeldConnects(monkeypatch)))
    assert not scenario.faults, f"seed {seed}: {' > '.join(scenario.steps)}: {scenario.faults}"
    assert all(count <= 3 for count in scenario.received_counts.values())
