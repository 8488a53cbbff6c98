"""Running a day: real gateway processes, stand-ins in this process, troubles at their times. Loopback only."""

from __future__ import annotations

import base64
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path

import anyio
from anyio.abc import Process, TaskGroup

from winchdyke.admin import keys
from winchdyke.days import script
from winchdyke.days.judge import InvariantChecker, Verdict
from winchdyke.days.members import MembershipChecker, read_final_views
from winchdyke.standins.clients import Clients
from winchdyke.standins.links import Fault, Links
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record, Seen, clock
from winchdyke.standins.store import Meter, Rack, Shelf, Spec, Store

START_S = 15.0
WARM_UP_S = 0.3
DRAIN_NOTICE_S = 2.2  # between a deploy's drain and the end of the process
AFTER_S = 0.2
PROGRAM = ("-m", "winchdyke")  # what the gateways' interpreter runs; benchmarks put mutants in its place
INSTANT_S = 3.5  # from when a change is asked for to the instant that it is staged for


class ScenarioError(Exception):
    """The day could not be played; says what went wrong."""


class Testbed:
    """The gateways, stores and list service of a day while it is played."""

    def __init__(
        self,
        scenario: script.Scenario,
        where: Path,
        group: TaskGroup,
        extra_settings: str = "",
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self.scenario, self.where, self.group, self.extra_settings, self.program = (
            scenario,
            where,
            group,
            extra_settings,
            program,
        )
        self.record = Record()
        self.list = ListService(self.record)
        self.meter, self.racks = Meter(), [Rack(), Rack()]
        self.stores: list[Store] = []
        self.processes: dict[int, Process] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.s3_addresses: dict[int, tuple[str, int]] = {}
        self.ends: list[int] = []
        self.links: Links | None = None

    @property
    def names(self) -> list[str]:
        """The gateways' names, by their index."""
        return [f"gateway-{index}" for index in range(self.scenario.gateways)]

    def _fleet_port(self, name: str) -> int:
        """Where a gateway listens for the others now; 0 where it does not."""
        try:
            return int((self.where / f"{name}.port.fleet").read_text().strip().rpartition(":")[2])
        except (OSError, ValueError):
            return 0

    async def _start_links(self) -> None:
        secret = base64.b64encode(random.Random(self.scenario.seed).randbytes(32)).decode()
        keys.write_keys(self.where / "fleet.keys", [keys.Key("fleet", secret, "fleet")])
        self.links = Links(self.names, self.scenario.seed, self.record, self._fleet_port)
        await self.links.start()

    def _fleet_settings(self, index: int) -> str:
        if self.links is None:
            return ""
        peers = self.links.peers(self.names[index])
        seeds = ", ".join(list(peers.values())[:3])
        ms = self.scenario.fleet
        text = (
            f'fleet {{\n    listen = 127.0.0.1:0\n    seeds = {seeds}\n    keys = "{self.where}/fleet.keys"\n'
            f'    keep = "{self.where}/members-{index}"\n    interval = {ms:g}ms\n    timeout = {0.4 * ms:g}ms\n'
            f"    exchange = {30 * ms:g}ms\n}}\n"
        )
        return text + "".join(f"peer {name} {{\n    address = {at}\n}}\n" for name, at in peers.items())

    def _store(self, shard: int, shelf: Shelf, number: int) -> Store:
        scenario = self.scenario
        speed = scenario.speeds[shard % len(scenario.speeds)] if scenario.speeds else 1.0
        spec = Spec(
            shard, rack=f"rack-{shard % 2}", cores=scenario.cores, speed=speed, unit_ms=scenario.unit_ms, queue=scenario.queue,
            memory_ms=max((kind.memory for kind in scenario.classes), default=0.0) or 4000.0,
            cold_from=scenario.rules.cold_from, warm_ms=scenario.rules.warm_after, fall_multiple=scenario.rules.fall_multiple,
            fall_window_ms=scenario.rules.fall_window, cold_units=scenario.rules.cold_units,
        )  # fmt: skip
        return Store(
            spec, shelf, self.racks[shard % 2], self.meter, self.record, seed=scenario.seed * 1000 + number
        )

    async def start(self) -> None:
        """Start all; ScenarioError where a gateway does not come up."""
        await self.list.start(self.group)
        if self.scenario.fleet:
            self.record.note("day", "clock", unix_ms=time.time() * 1000)
            await self._start_links()
        for shard in range(self.scenario.stores):
            store = self._store(shard, Shelf(), shard)
            self.stores.append(store)
            await store.start(self.group)
            await self.list.set(store.name, "ready", shard, store.spec.zone)
        self.list.late_ms = self.scenario.late_list
        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(self.start_gateway, index)
        await anyio.sleep(WARM_UP_S)

    async def start_gateway(self, index: int) -> None:
        """Start a gateway's process and wait for its address."""
        port_file = self.where / f"gateway-{index}.port"
        port_file.unlink(missing_ok=True)
        for beside in (".s3", ".fleet"):
            port_file.with_name(port_file.name + beside).unlink(missing_ok=True)
        settings = self.where / f"gateway-{index}.conf"
        extra_settings = self.extra_settings.replace("{name}", f"gateway-{index}") + self._fleet_settings(
            index
        )
        settings.write_text(
            script.settings(self.scenario, index, self.list.port, str(port_file), extra_settings)
        )
        with (self.where / f"gateway-{index}.log").open("ab") as log:
            command = [sys.executable, *self.program, "serve", "-c", str(settings)]
            process = await anyio.open_process(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes[index] = process
        until = clock() + START_S * 1000
        while not port_file.exists():
            if process.returncode is not None or clock() > until:
                told = (self.where / f"gateway-{index}.log").read_text(errors="replace").strip().splitlines()
                why = f": {told[-1]}" if told else ""
                raise ScenarioError(
                    f"gateway {index} did not start{why}; see {self.where}/gateway-{index}.log"
                )
            await anyio.sleep(0.02)
        host, _, port = port_file.read_text().strip().rpartition(":")
        self.addresses[index] = host, int(port)
        s3_file = port_file.with_name(port_file.name + ".s3")
        if s3_file.exists():
            host, _, port = s3_file.read_text().strip().rpartition(":")
            self.s3_addresses[index] = host, int(port)
        self.record.note("day", "gateway-up", gateway=f"gateway-{index}")

    async def stop(self) -> None:
        """End the gateways in good order; how they ended is in ``ends``."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            with anyio.move_on_after(10) as scope:
                self.ends.append(await process.wait())
            if scope.cancelled_caught:
                process.kill()
                self.ends.append(-9)

    # Troubles.

    async def play(self, event: script.Event, draw: random.Random) -> None:
        """Bring about one trouble, from its time to its end."""
        await anyio.sleep(event.at / 1000)
        span = event.length / 1000
        self.record.note("day", "trouble", kind=event.kind, on=event.on, length=event.length)
        stores = [self.stores[at % len(self.stores)] for at in event.on]
        if event.kind == "deploy":
            await self._deploy(event)
        elif event.kind in ("silent", "crash"):
            for store in stores:
                if event.kind == "silent":
                    store.silent = True
                else:
                    store.kill()
            await anyio.sleep(span)
            for store in stores:
                store.kill()
                await anyio.sleep(0.05)
                await self._restart(store)
        elif event.kind == "lost":
            for store in stores:
                store.lost_share, store.lost_how = event.size, event.how or "silence"
            await anyio.sleep(span)
            for store in stores:
                store.lost_share = 0.0
        elif event.kind == "slow":
            for store in stores:
                store.slow = event.size
            await anyio.sleep(span)
            for store in stores:
                store.slow = 1.0
        elif event.kind == "trick":
            for store in stores:
                store.trick, store.trick_share = event.how, event.size
            await anyio.sleep(span)
            for store in stores:
                store.trick, store.trick_share = "", 0.0
        elif event.kind in ("pauses", "neighbour"):
            await self._on_and_off(event, stores, draw)
        elif event.kind in ("gateway-kill", "gateway-stop", "gateway-leave"):
            do = {"gateway-kill": self._kill_gateway, "gateway-stop": self._stop_gateway}
            async with anyio.create_task_group() as group:
                for index in event.on:
                    group.start_soon(
                        do.get(event.kind, self._leave_gateway), index % self.scenario.gateways, span
                    )
        elif event.kind == "link":
            await self._link(event, span)
        elif event.kind == "change":
            await self._change(event)
        elif event.kind == "own-drain":
            await self._drained_in_place(stores, span)
        elif event.kind == "reuse":
            await self._reused(stores[0], span)
        elif event.kind == "list-down":
            self.list.failing = event.how or "error"
            await anyio.sleep(span)
            self.list.failing = ""

    async def _on_and_off(self, event: script.Event, stores: list[Store], draw: random.Random) -> None:
        until = clock() + event.length
        while clock() < until:
            for store in stores:
                if event.kind == "pauses":
                    store.paused_until = clock() + event.size
                else:
                    store.slow = 1 / max(0.1, 1 - event.size)
            gap = draw.uniform(1000, 2500) if event.kind == "pauses" else draw.uniform(500, 1500)
            await anyio.sleep(gap / 1000)
            if event.kind == "neighbour":
                for store in stores:
                    store.slow = 1.0
                await anyio.sleep(gap / 1000)

    async def _restart(self, store: Store) -> None:
        await store.start(self.group, cold=True)
        started = time.time() * 1000
        self.group.start_soon(self.list.set, store.name, "ready", store.spec.shard, store.spec.zone, started)

    async def _deploy(self, event: script.Event) -> None:
        """Replace stores a few at a time: drain, end, and a cold successor at another port with the same shelf."""
        step = max(1, int(event.size))
        steps = [event.on[at : at + step] for at in range(0, len(event.on), step)]
        gap = max(0.1, event.length / 1000 / len(steps) - DRAIN_NOTICE_S - 0.3)
        for batch in steps:
            for at in batch:
                old = self.stores[at]
                self.group.start_soon(self.list.set, old.name, "draining", old.spec.shard, old.spec.zone)
            await anyio.sleep(DRAIN_NOTICE_S)
            for at in batch:
                old = self.stores[at]
                old.kill()
                fresh = self._store(old.spec.shard, old.shelf, len(self.stores) + at)
                self.stores[at] = fresh
                await fresh.start(self.group, cold=True)
                started = time.time() * 1000
                self.group.start_soon(self.list.set, old.name, "gone", old.spec.shard, old.spec.zone)
                self.group.start_soon(
                    self.list.set, fresh.name, "ready", old.spec.shard, old.spec.zone, started
                )
            await anyio.sleep(gap)

    async def _change(self, event: script.Event) -> None:
        """Every gateway is given the same change, each by itself: a limit for one instant, and by two people at once."""
        if event.how == "limit":
            words = ["plan", "basic", f"limit={event.size:g} units/s", f"limit_burst={script.LARGEST_UNITS}"]
        else:  # a shard that no node has: it passes the checker, and cuts the course off
            words = ["volume", self.scenario.volumes[event.on[0]].name, f"shards={self.scenario.stores + 5}"]
        asked: dict[
            int, list[str]
        ] = {}  # versions by gateway: the change, and another person's edit of the same base

        async def prepare(index: int) -> None:
            folder = str(self.where / f"changes-{index}")
            edits = [[*words, "--why", event.how]]
            if event.how == "limit":
                edits.append(["plan", "contest", "weight=7", "--who", "other"])
            for edit in edits:
                said = await self._winchdyke("changes", "set", folder, *edit)
                if said.startswith("version"):
                    asked.setdefault(index, []).append(said.split()[1].rstrip(","))

        # However slow this host is to make them, the instant is stated once all are there.
        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(prepare, index)
        at = datetime.fromtimestamp(time.time() + INSTANT_S, UTC).isoformat()
        self.record.note("day", "changing", how=event.how, limit=event.size)

        async def one(index: int) -> None:
            folder, made = str(self.where / f"changes-{index}"), asked.get(index, [])
            course = self.scenario.volumes[event.on[0]].name if event.on else ""
            told = {"gateway": f"gateway-{index}", "how": event.how, "volume": course}
            version = made[0] if made else ""
            if event.how != "limit":
                if version:
                    await self._winchdyke("changes", "apply", folder, version)
                self.record.note("day", "changed", limit=event.size, version=version, **told)
                return
            said = await self._winchdyke("changes", "apply", folder, version, "--at", at)
            self.record.note(
                "day",
                "changed",
                limit=event.size,
                version=version if "ready" in said else "",
                said=said.strip(),
                **told,
            )
            await anyio.sleep(max(0.0, datetime.fromisoformat(at).timestamp() - time.time()) + 0.5)
            for _ in range(3):
                said = await self._winchdyke("changes", "apply", folder, made[-1])
                if "try again" not in said:
                    break  # as its message has people do
            log = await self._winchdyke("changes", "log", folder)
            both = [line.split()[3] for line in log.splitlines() if " proposed " in line]
            self.record.note(
                "day", "merged", gateway=told["gateway"], said=said.strip(), editors=",".join(both)
            )

        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(one, index)

    @staticmethod
    async def _winchdyke(*words: str) -> str:
        done = await anyio.run_process([sys.executable, "-m", "winchdyke", *words], check=False)
        return (done.stdout + done.stderr).decode(errors="replace")

    async def _drained_in_place(self, stores: list[Store], span: float) -> None:
        """Each says itself that it drains, ends, and starts anew at its address, cold."""
        for store in stores:
            store.draining = True
            await anyio.sleep(span / len(stores))
            store.kill()
            await anyio.sleep(0.05)
            await self._restart(store)

    async def _reused(self, old: Store, span: float) -> None:
        """Another store takes an address for a while; the one that was there goes on at a new one."""
        old.kill()
        other = self._store(old.spec.shard, Shelf(), 900 + old.spec.shard)
        other.port, other.stranger = old.port, True
        await other.start(self.group)
        fresh = self._store(old.spec.shard, old.shelf, old.seed - self.scenario.seed * 1000)
        self.stores[self.stores.index(old)] = fresh
        await fresh.start(self.group, cold=True)
        started = time.time() * 1000
        self.group.start_soon(self.list.set, old.name, "gone", old.spec.shard, old.spec.zone)
        self.group.start_soon(self.list.set, fresh.name, "ready", old.spec.shard, old.spec.zone, started)
        await anyio.sleep(span)
        other.kill()

    async def _link(self, event: script.Event, span: float) -> None:
        links, how, size = self.links, event.how, event.size
        assert links is not None
        some = [self.names[index] for index in event.on]
        others = [name for name in self.names if name not in some]
        if not some:
            pairs = links.between(self.names, self.names, both=False)
        elif how == "apart":
            pairs = links.between(some[:1], some[1:])
        elif how in ("deaf", "mute"):
            pairs = links.between(*((others, some) if how == "deaf" else (some, others)), both=False)
        else:
            pairs = links.between(some, others)
        fault = {
            **dict.fromkeys(("cut", "apart", "deaf", "mute"), Fault(cut=True)), "loss": Fault(loss=size),
            "burst": Fault(loss=size, burst=8.0), "copies": Fault(copies=size), "delay": Fault(delay=size, jitter=size),
            "tail": Fault(delay=2.0, tail=size), "large": Fault(large=int(size)), "no-udp": Fault(datagrams=False),
            "no-tcp": Fault(streams=False),
        }[how]  # fmt: skip
        before = {pair: links.links[pair].fault for pair in pairs}
        links.set(pairs, fault)
        await anyio.sleep(span)
        for was in set(before.values()):
            links.set([pair for pair, each in before.items() if each == was], was)

    async def _stop_gateway(self, index: int, span: float) -> None:
        process = self.processes[index]
        if process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        self.record.note("day", "gateway-stopped", gateway=f"gateway-{index}")
        await anyio.sleep(span)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self.record.note("day", "gateway-goes-on", gateway=f"gateway-{index}")

    async def _leave_gateway(self, index: int, span: float) -> None:
        process = self.processes[index]
        if process.returncode is not None:
            return
        self.record.note("day", "gateway-leaves", gateway=f"gateway-{index}")
        process.send_signal(signal.SIGTERM)
        await process.wait()
        for what in ("gateway-down", "gateway-gone"):
            self.record.note("day", what, gateway=f"gateway-{index}")
        await anyio.sleep(span)
        await self.start_gateway(index)

    async def _kill_gateway(self, index: int, span: float) -> None:
        if self.processes[index].returncode is not None:
            return  # another trouble has ended it
        self.record.note("day", "gateway-down", gateway=f"gateway-{index}")
        process = self.processes[index]
        process.kill()
        await process.wait()
        self.record.note(
            "day", "gateway-gone", gateway=f"gateway-{index}"
        )  # on a busy host a while after the kill
        await anyio.sleep(span)
        await self.start_gateway(index)


async def play(
    scenario: script.Scenario, where: Path, extra_settings: str = "", program: tuple[str, ...] = PROGRAM
) -> tuple[list[Seen], list[int]]:
    """Play a day: what was seen, and how the gateways ended. Logs and settings stay in ``where``."""
    async with anyio.create_task_group() as group:
        testbed = Testbed(scenario, where, group, extra_settings, program)
        try:
            await testbed.start()
            draw = random.Random(f"{scenario.name}/{scenario.seed}/troubles")
            clients = Clients(
                testbed.record,
                lambda index: testbed.addresses[index],
                scenario.seed,
                lambda index: testbed.s3_addresses[index],
            )
            async with anyio.create_task_group() as troubles:
                for event in scenario.events:
                    troubles.start_soon(testbed.play, event, random.Random(draw.random()))
                await clients.run(script.client_requests(scenario))
            await anyio.sleep(AFTER_S)
            if scenario.fleet:
                testbed.record.note("day", "settled", views=await read_final_views(testbed.names, where))
            await testbed.stop()
        finally:
            if testbed.links is not None:
                testbed.record.note("links", "counts", **testbed.links.counts)
                testbed.links.close()
            for process in testbed.processes.values():
                if process.returncode is None:
                    process.kill()
            group.cancel_scope.cancel()
    return testbed.record.seen, testbed.ends


def run_scenario(
    scenario: script.Scenario,
    keep: Path | None = None,
    extra_settings: str = "",
    program: tuple[str, ...] = PROGRAM,
) -> tuple[Verdict, list[Seen], list[int]]:
    """Play a day in a folder of its own and judge it. ScenarioError where it could not be played.

    The folder stays where it was asked for, where a rule was broken, where a gateway did not end well, and where the day could
    not be played; a message that names a log names one that is there.
    """
    where = keep or Path(tempfile.mkdtemp(prefix="winchdyke-day-"))
    where.mkdir(parents=True, exist_ok=True)
    try:
        seen, ends = anyio.run(play, scenario, where, extra_settings, program)
    except BaseExceptionGroup as group:
        failed, rest = group.split(ScenarioError)
        if failed is None or rest is not None:
            raise
        error: BaseException = failed
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
    verdict = InvariantChecker(scenario, seen).verdict()
    if scenario.fleet:
        verdict.members = MembershipChecker(scenario, seen, where).verdict()
        verdict.members.final_views = next((each["views"] for each in seen if each["what"] == "settled"), {})
    if verdict.kept and not any(ends) and keep is None:
        shutil.rmtree(where, ignore_errors=True)
    else:
        verdict.log_directory = str(where)
        (where / "record.jsonl").write_text("".join(json.dumps(each) + "\n" for each in seen))
    return verdict, seen, ends
