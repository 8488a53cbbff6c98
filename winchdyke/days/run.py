"""Runs a scenario: real gateway processes, stand-ins for clients and stores in this process, and scheduled faults. Loopback only."""

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
from winchdyke.standins.record import Entry, Record, clock
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter

GATEWAY_START_TIMEOUT_S = 15.0
SETTLE_S = 0.3  # seconds from the start of all gateways to the first request
DRAIN_NOTICE_S = 2.2  # seconds from the start of a drain in a deploy to the end of the process
TRAILING_S = 0.2  # seconds from the last answer to the stop of the gateways
PROGRAM = ("-m", "winchdyke")  # arguments of the gateways' interpreter; benchmarks pass others
ACTIVATION_DELAY_S = 3.5  # seconds from the request for a change to its scheduled activation


class ScenarioError(Exception):
    """The scenario could not be run; the message says why."""


class LocalDeployment:
    """The gateways, stores and list service of a running scenario."""

    def __init__(
        self,
        scenario: script.Scenario,
        directory: Path,
        group: TaskGroup,
        extra_settings: str = "",
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self.scenario, self.directory, self.group, self.extra_settings, self.program = (
            scenario,
            directory,
            group,
            extra_settings,
            program,
        )
        self.record = Record()
        self.list = ListService(self.record)
        self.meter, self.deduplication_groups = UsageMeter(), [DeduplicationGroup(), DeduplicationGroup()]
        self.stores: list[Store] = []
        self.processes: dict[int, Process] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.s3_addresses: dict[int, tuple[str, int]] = {}
        self.exit_codes: list[int] = []
        self.links: Links | None = None

    @property
    def names(self) -> list[str]:
        """The names of the gateways, by index."""
        return [f"gateway-{index}" for index in range(self.scenario.gateways)]

    def _membership_port(self, name: str) -> int:
        """The port a gateway currently listens at for membership; 0 if it does not."""
        try:
            return int((self.directory / f"{name}.port.fleet").read_text().strip().rpartition(":")[2])
        except (OSError, ValueError):
            return 0

    async def _start_links(self) -> None:
        secret = base64.b64encode(random.Random(self.scenario.seed).randbytes(32)).decode()
        keys.write_keys(self.directory / "fleet.keys", [keys.Key("fleet", secret, "fleet")])
        self.links = Links(self.names, self.scenario.seed, self.record, self._membership_port)
        await self.links.start()

    def _membership_settings(self, index: int) -> str:
        if self.links is None:
            return ""
        peers = self.links.peers(self.names[index])
        seeds = ", ".join(list(peers.values())[:3])
        ms = self.scenario.fleet
        text = (
            f'fleet {{\n    listen = 127.0.0.1:0\n    seeds = {seeds}\n    keys = "{self.directory}/fleet.keys"\n'
            f'    keep = "{self.directory}/members-{index}"\n    interval = {ms:g}ms\n    timeout = {0.4 * ms:g}ms\n'
            f"    exchange = {30 * ms:g}ms\n}}\n"
        )
        return text + "".join(f"peer {name} {{\n    address = {at}\n}}\n" for name, at in peers.items())

    def _make_store(self, shard: int, object_store: ObjectStore, number: int) -> Store:
        scenario = self.scenario
        speed = scenario.speeds[shard % len(scenario.speeds)] if scenario.speeds else 1.0
        spec = StoreSpec(
            shard, rack=f"rack-{shard % 2}", cores=scenario.cores, speed=speed, unit_ms=scenario.unit_ms, queue=scenario.queue,
            deduplication_window_ms=max((kind.memory for kind in scenario.classes), default=0.0) or 4000.0,
            cold_start_capacity=scenario.rules.cold_from, warm_up_ms=scenario.rules.warm_after,
            overload_factor=scenario.rules.fall_multiple,
            overload_window_ms=scenario.rules.fall_window, min_overload_units=scenario.rules.cold_units,
        )  # fmt: skip
        return Store(
            spec,
            object_store,
            self.deduplication_groups[shard % 2],
            self.meter,
            self.record,
            seed=scenario.seed * 1000 + number,
        )

    async def start(self) -> None:
        """Start the list service, stores and gateways. Raises ScenarioError if a gateway does not start."""
        await self.list.start(self.group)
        if self.scenario.fleet:
            self.record.note("day", "clock", unix_ms=time.time() * 1000)
            await self._start_links()
        for shard in range(self.scenario.stores):
            store = self._make_store(shard, ObjectStore(), shard)
            self.stores.append(store)
            await store.start(self.group)
            await self.list.set(store.name, "ready", shard, store.spec.zone)
        self.list.late_ms = self.scenario.late_list
        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(self.start_gateway, index)
        await anyio.sleep(SETTLE_S)

    async def start_gateway(self, index: int) -> None:
        """Start a gateway process and wait for its address. Raises ScenarioError if it does not start."""
        port_file = self.directory / f"gateway-{index}.port"
        port_file.unlink(missing_ok=True)
        for suffix in (".s3", ".fleet"):
            port_file.with_name(port_file.name + suffix).unlink(missing_ok=True)
        settings = self.directory / f"gateway-{index}.conf"
        extra_settings = self.extra_settings.replace(
            "{name}", f"gateway-{index}"
        ) + self._membership_settings(index)
        settings.write_text(
            script.settings(self.scenario, index, self.list.port, str(port_file), extra_settings)
        )
        with (self.directory / f"gateway-{index}.log").open("ab") as log:
            command = [sys.executable, *self.program, "serve", "-c", str(settings)]
            process = await anyio.open_process(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes[index] = process
        until = clock() + GATEWAY_START_TIMEOUT_S * 1000
        while not port_file.exists():
            if process.returncode is not None or clock() > until:
                lines = (
                    (self.directory / f"gateway-{index}.log").read_text(errors="replace").strip().splitlines()
                )
                reason = f": {lines[-1]}" if lines else ""
                raise ScenarioError(
                    f"gateway {index} did not start{reason}; see {self.directory}/gateway-{index}.log"
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
        """Stop the gateways with SIGTERM; ``exit_codes`` receives their exit codes, -9 after a timeout of 10 s."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            with anyio.move_on_after(10) as scope:
                self.exit_codes.append(await process.wait())
            if scope.cancelled_caught:
                process.kill()
                self.exit_codes.append(-9)

    # Faults

    async def inject(self, event: script.Event, rng: random.Random) -> None:
        """Inject one fault, from its start to its end."""
        await anyio.sleep(event.at / 1000)
        duration_s = event.length / 1000
        self.record.note("day", "trouble", kind=event.kind, on=event.on, length=event.length)
        stores = [self.stores[index % len(self.stores)] for index in event.on]
        if event.kind == "deploy":
            await self._deploy(event)
        elif event.kind in ("silent", "crash"):
            for store in stores:
                if event.kind == "silent":
                    store.silent = True
                else:
                    store.kill()
            await anyio.sleep(duration_s)
            for store in stores:
                store.kill()
                await anyio.sleep(0.05)
                await self._restart(store)
        elif event.kind == "lost":
            for store in stores:
                store.lost_share, store.lost_how = event.size, event.how or "silence"
            await anyio.sleep(duration_s)
            for store in stores:
                store.lost_share = 0.0
        elif event.kind == "slow":
            for store in stores:
                store.slowdown = event.size
            await anyio.sleep(duration_s)
            for store in stores:
                store.slowdown = 1.0
        elif event.kind == "trick":
            for store in stores:
                store.trick, store.trick_share = event.how, event.size
            await anyio.sleep(duration_s)
            for store in stores:
                store.trick, store.trick_share = "", 0.0
        elif event.kind in ("pauses", "neighbour"):
            await self._inject_intermittently(event, stores, rng)
        elif event.kind in ("gateway-kill", "gateway-stop", "gateway-leave"):
            actions = {"gateway-kill": self._kill_gateway, "gateway-stop": self._stop_gateway}
            async with anyio.create_task_group() as group:
                for index in event.on:
                    group.start_soon(
                        actions.get(event.kind, self._leave_gateway),
                        index % self.scenario.gateways,
                        duration_s,
                    )
        elif event.kind == "link":
            await self._inject_link_fault(event, duration_s)
        elif event.kind == "change":
            await self._change(event)
        elif event.kind == "own-drain":
            await self._drain_in_place(stores, duration_s)
        elif event.kind == "reuse":
            await self._reuse_address(stores[0], duration_s)
        elif event.kind == "list-down":
            self.list.failing = event.how or "error"
            await anyio.sleep(duration_s)
            self.list.failing = ""

    async def _inject_intermittently(
        self, event: script.Event, stores: list[Store], rng: random.Random
    ) -> None:
        until = clock() + event.length
        while clock() < until:
            for store in stores:
                if event.kind == "pauses":
                    store.paused_until = clock() + event.size
                else:
                    store.slowdown = 1 / max(0.1, 1 - event.size)
            gap = rng.uniform(1000, 2500) if event.kind == "pauses" else rng.uniform(500, 1500)
            await anyio.sleep(gap / 1000)
            if event.kind == "neighbour":
                for store in stores:
                    store.slowdown = 1.0
                await anyio.sleep(gap / 1000)

    async def _restart(self, store: Store) -> None:
        await store.start(self.group, cold=True)
        started = time.time() * 1000
        self.group.start_soon(self.list.set, store.name, "ready", store.spec.shard, store.spec.zone, started)

    async def _deploy(self, event: script.Event) -> None:
        """Replace stores in batches: drain each, end it, and start a cold successor at another port with the same objects."""
        batch_size = max(1, int(event.size))
        batches = [event.on[start : start + batch_size] for start in range(0, len(event.on), batch_size)]
        gap = max(0.1, event.length / 1000 / len(batches) - DRAIN_NOTICE_S - 0.3)
        for batch in batches:
            for index in batch:
                old = self.stores[index]
                self.group.start_soon(self.list.set, old.name, "draining", old.spec.shard, old.spec.zone)
            await anyio.sleep(DRAIN_NOTICE_S)
            for index in batch:
                old = self.stores[index]
                old.kill()
                fresh = self._make_store(old.spec.shard, old.object_store, len(self.stores) + index)
                self.stores[index] = fresh
                await fresh.start(self.group, cold=True)
                started = time.time() * 1000
                self.group.start_soon(self.list.set, old.name, "gone", old.spec.shard, old.spec.zone)
                self.group.start_soon(
                    self.list.set, fresh.name, "ready", old.spec.shard, old.spec.zone, started
                )
            await anyio.sleep(gap)

    async def _change(self, event: script.Event) -> None:
        """Change the settings of each gateway separately: a limit at one instant for all, with a concurrent edit of another value."""
        if event.how == "limit":
            arguments = [
                "plan",
                "basic",
                f"limit={event.size:g} units/s",
                f"limit_burst={script.LARGEST_UNITS}",
            ]
        else:  # a shard without a store is valid in the settings, and makes the volume unreachable
            arguments = [
                "volume",
                self.scenario.volumes[event.on[0]].name,
                f"shards={self.scenario.stores + 5}",
            ]
        # By gateway: the version of the change, and that of another editor with the same base.
        versions: dict[int, list[str]] = {}

        async def prepare(index: int) -> None:
            folder = str(self.directory / f"changes-{index}")
            edits = [[*arguments, "--why", event.how]]
            if event.how == "limit":
                edits.append(["plan", "contest", "weight=7", "--who", "other"])
            for edit in edits:
                output = await self._winchdyke("changes", "set", folder, *edit)
                if output.startswith("version"):
                    versions.setdefault(index, []).append(output.split()[1].rstrip(","))

        # The instant is chosen after all versions exist, so that a slow host does not miss it.
        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(prepare, index)
        activate_at = datetime.fromtimestamp(time.time() + ACTIVATION_DELAY_S, UTC).isoformat()
        self.record.note("day", "changing", how=event.how, limit=event.size)

        async def apply(index: int) -> None:
            folder, own_versions = str(self.directory / f"changes-{index}"), versions.get(index, [])
            volume = self.scenario.volumes[event.on[0]].name if event.on else ""
            details = {"gateway": f"gateway-{index}", "how": event.how, "volume": volume}
            version = own_versions[0] if own_versions else ""
            if event.how != "limit":
                if version:
                    await self._winchdyke("changes", "apply", folder, version)
                self.record.note("day", "changed", limit=event.size, version=version, **details)
                return
            output = await self._winchdyke("changes", "apply", folder, version, "--at", activate_at)
            self.record.note(
                "day",
                "changed",
                limit=event.size,
                version=version if "ready" in output else "",
                said=output.strip(),
                **details,
            )
            await anyio.sleep(max(0.0, datetime.fromisoformat(activate_at).timestamp() - time.time()) + 0.5)
            for _ in range(3):
                output = await self._winchdyke("changes", "apply", folder, own_versions[-1])
                if "try again" not in output:
                    break  # the message asks the operator to retry
            log = await self._winchdyke("changes", "log", folder)
            editors = [line.split()[3] for line in log.splitlines() if " proposed " in line]
            self.record.note(
                "day", "merged", gateway=details["gateway"], said=output.strip(), editors=",".join(editors)
            )

        async with anyio.create_task_group() as group:
            for index in range(self.scenario.gateways):
                group.start_soon(apply, index)

    @staticmethod
    async def _winchdyke(*arguments: str) -> str:
        completed = await anyio.run_process([sys.executable, "-m", "winchdyke", *arguments], check=False)
        return (completed.stdout + completed.stderr).decode(errors="replace")

    async def _drain_in_place(self, stores: list[Store], duration_s: float) -> None:
        """Drain stores one after another: each reports its drain, ends, and restarts cold at the same address."""
        for store in stores:
            store.draining = True
            await anyio.sleep(duration_s / len(stores))
            store.kill()
            await anyio.sleep(0.05)
            await self._restart(store)

    async def _reuse_address(self, old: Store, duration_s: float) -> None:
        """Let another store use the address of a store for a while; the previous store restarts at a new address."""
        old.kill()
        other = self._make_store(old.spec.shard, ObjectStore(), 900 + old.spec.shard)
        other.port, other.is_other_store = old.port, True
        await other.start(self.group)
        fresh = self._make_store(old.spec.shard, old.object_store, old.seed - self.scenario.seed * 1000)
        self.stores[self.stores.index(old)] = fresh
        await fresh.start(self.group, cold=True)
        started = time.time() * 1000
        self.group.start_soon(self.list.set, old.name, "gone", old.spec.shard, old.spec.zone)
        self.group.start_soon(self.list.set, fresh.name, "ready", old.spec.shard, old.spec.zone, started)
        await anyio.sleep(duration_s)
        other.kill()

    async def _inject_link_fault(self, event: script.Event, duration_s: float) -> None:
        links, how, size = self.links, event.how, event.size
        assert links is not None
        members = [self.names[index] for index in event.on]
        others = [name for name in self.names if name not in members]
        if not members:
            pairs = links.between(self.names, self.names, both=False)
        elif how == "apart":
            pairs = links.between(members[:1], members[1:])
        elif how in ("deaf", "mute"):
            pairs = links.between(*((others, members) if how == "deaf" else (members, others)), both=False)
        else:
            pairs = links.between(members, others)
        fault = {
            **dict.fromkeys(("cut", "apart", "deaf", "mute"), Fault(cut=True)), "loss": Fault(loss=size),
            "burst": Fault(loss=size, burst=8.0), "copies": Fault(copies=size), "delay": Fault(delay=size, jitter=size),
            "tail": Fault(delay=2.0, tail=size), "large": Fault(large=int(size)), "no-udp": Fault(datagrams=False),
            "no-tcp": Fault(streams=False),
        }[how]  # fmt: skip
        previous_faults = {pair: links.links[pair].fault for pair in pairs}
        links.set_fault(pairs, fault)
        await anyio.sleep(duration_s)
        for previous_fault in set(previous_faults.values()):
            links.set_fault(
                [pair for pair, fault_before in previous_faults.items() if fault_before == previous_fault],
                previous_fault,
            )

    async def _stop_gateway(self, index: int, duration_s: float) -> None:
        process = self.processes[index]
        if process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        self.record.note("day", "gateway-stopped", gateway=f"gateway-{index}")
        await anyio.sleep(duration_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self.record.note("day", "gateway-goes-on", gateway=f"gateway-{index}")

    async def _leave_gateway(self, index: int, duration_s: float) -> None:
        process = self.processes[index]
        if process.returncode is not None:
            return
        self.record.note("day", "gateway-leaves", gateway=f"gateway-{index}")
        process.send_signal(signal.SIGTERM)
        await process.wait()
        for what in ("gateway-down", "gateway-gone"):
            self.record.note("day", what, gateway=f"gateway-{index}")
        await anyio.sleep(duration_s)
        await self.start_gateway(index)

    async def _kill_gateway(self, index: int, duration_s: float) -> None:
        if self.processes[index].returncode is not None:
            return  # another fault has already ended it
        self.record.note("day", "gateway-down", gateway=f"gateway-{index}")
        process = self.processes[index]
        process.kill()
        await process.wait()
        # On a busy host a process may end some time after the kill.
        self.record.note("day", "gateway-gone", gateway=f"gateway-{index}")
        await anyio.sleep(duration_s)
        await self.start_gateway(index)


async def play_scenario(
    scenario: script.Scenario, directory: Path, extra_settings: str = "", program: tuple[str, ...] = PROGRAM
) -> tuple[list[Entry], list[int]]:
    """Run a scenario; returns its record and the exit codes of the gateways. Logs and settings stay in ``directory``."""
    async with anyio.create_task_group() as group:
        deployment = LocalDeployment(scenario, directory, group, extra_settings, program)
        try:
            await deployment.start()
            rng = random.Random(f"{scenario.name}/{scenario.seed}/troubles")
            clients = Clients(
                deployment.record,
                lambda index: deployment.addresses[index],
                scenario.seed,
                lambda index: deployment.s3_addresses[index],
            )
            async with anyio.create_task_group() as fault_group:
                for event in scenario.events:
                    fault_group.start_soon(deployment.inject, event, random.Random(rng.random()))
                await clients.run(script.client_requests(scenario))
            await anyio.sleep(TRAILING_S)
            if scenario.fleet:
                deployment.record.note(
                    "day", "settled", views=await read_final_views(deployment.names, directory)
                )
            await deployment.stop()
        finally:
            if deployment.links is not None:
                deployment.record.note("links", "counts", **deployment.links.counts)
                deployment.links.close()
            for process in deployment.processes.values():
                if process.returncode is None:
                    process.kill()
            group.cancel_scope.cancel()
    return deployment.record.entries, deployment.exit_codes


def run_scenario(
    scenario: script.Scenario,
    keep_directory: Path | None = None,
    extra_settings: str = "",
    program: tuple[str, ...] = PROGRAM,
) -> tuple[Verdict, list[Entry], list[int]]:
    """Run a scenario in a directory of its own and check its record.

    Returns the verdict, the record, and the exit codes of the gateways. The directory stays if it was given, if a rule is
    violated, if a gateway ended with an error, or if the scenario could not be run, so that logs named in messages exist.

    Raises:
        ScenarioError: The scenario could not be run.
    """
    directory = keep_directory or Path(tempfile.mkdtemp(prefix="winchdyke-day-"))
    directory.mkdir(parents=True, exist_ok=True)
    try:
        record, exit_codes = anyio.run(play_scenario, scenario, directory, extra_settings, program)
    except BaseExceptionGroup as group:
        failed, rest = group.split(ScenarioError)
        if failed is None or rest is not None:
            raise
        error: BaseException = failed
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
    verdict = InvariantChecker(scenario, record).verdict()
    if scenario.fleet:
        verdict.members = MembershipChecker(scenario, record, directory).verdict()
        verdict.members.final_views = next(
            (each["views"] for each in record if each["what"] == "settled"), {}
        )
    if verdict.kept and not any(exit_codes) and keep_directory is None:
        shutil.rmtree(directory, ignore_errors=True)
    else:
        verdict.log_directory = str(directory)
        (directory / "record.jsonl").write_text("".join(json.dumps(each) + "\n" for each in record))
    return verdict, record, exit_codes
