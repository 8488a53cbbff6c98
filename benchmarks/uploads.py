"""Tests multipart uploads during store faults and gateway kills.

Each request must get one response in time, and each object must be read back unchanged.

python benchmarks/uploads.py [--seeds 10] [--uploads 100] [--kills 20]

A run has two gateway processes and eight stand-in stores. Stores become slow, accept a request without
responding, reset connections, shed requests, die and restart; gateways are killed with SIGKILL and restarted a
number of times. Clients upload objects of three parts concurrently through either gateway, and repeat requests
that got no response or are safe to repeat, as S3 clients do; one in five aborts its upload. Violations are
determined from the clients and the stores alone: a response after the deadline of the request class, a second
response, an object that differs from the one sent, a remaining part of an aborted upload, and an uncompleted
upload that exists after its expiry.
"""

from __future__ import annotations

import argparse
import os
import random
import re
import sys
import tempfile
import time
from collections import Counter
from importlib import resources
from pathlib import Path
from xml.sax.saxutils import escape

import anyio
import h11
from anyio.abc import Process

from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter
from winchdyke.standins.wire import CONNECTION_ERRORS, Peer

DEADLINE_S = 3.0
TOLERANCE_S = 0.25  # on a busy machine, between the end of the response and the client's clock
UPLOAD_KEEP_S = 60.0  # the minimum that the settings accept
MIN_PART_BYTES = 60_000
FAULTS = (
    "silence", "reset-after-run", "die-mid-request", "shed", "error", "slow", "die-mid-answer", "kill",
)  # fmt: skip


def settings(folder: Path, index: int, list_port: int) -> str:
    """The default settings, with an S3 listener that accepts unsigned requests."""
    text = resources.files("winchdyke.config").joinpath("defaults.ini").read_text()
    text = text.replace("[gateway]\n", f"[gateway]\nport_file = {folder}/port-{index}\n", 1)
    lines = [line for line in text.splitlines() if not line.startswith("port_file =") or str(folder) in line]
    lines = [re.sub(r"^list = .*", f"list = http://127.0.0.1:{list_port}/nodes", line) for line in lines]
    lines = [re.sub(r"^(deadline) = .*", rf"\1 = {DEADLINE_S:g}s", line) for line in lines]
    s3 = "[s3]\nlisten = 127.0.0.1:0\nunsigned = all\npart_least = 1B\nparts_at_once = 16\n"
    return "\n".join(lines) + f"\n{s3}"


class Run:
    """One run with one seed."""

    def __init__(self, folder: Path, seed: int, uploads: int, kills: int) -> None:
        self.folder, self.random = folder, random.Random(seed)
        self.uploads, self.kills = uploads, kills
        self.record, self.list_service = Record(), ListService(Record())
        self.stores: list[Store] = []
        self.gateways: dict[int, Process] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.aborted: set[str] = set()
        self.slowest_s = 0.0

    async def start_gateway(self, index: int) -> None:
        """Starts a gateway process, and waits until it listens."""
        port_file = self.folder / f"port-{index}"
        port_file.unlink(missing_ok=True)
        settings_file = self.folder / f"g{index}.ini"
        settings_file.write_text(settings(self.folder, index, self.list_service.port))
        with open(self.folder / f"log-{index}", "ab") as log_file:
            self.gateways[index] = await anyio.open_process(
                [sys.executable, "-m", "winchdyke", "serve", "-c", str(settings_file)],
                stdout=log_file,
                stderr=log_file,
            )
        with anyio.fail_after(30):
            while not port_file.exists():
                await anyio.sleep(0.01)

    async def ask(
        self, index: int, method: str, target: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request, and returns the response.

        The status is 0 if the gateway was not running, cut the connection or did not respond in time.
        """
        started_at = time.monotonic()
        status, headers, response_body = 0, {}, b""
        self.counts["requests"] += 1
        try:
            host, _, port = (self.folder / f"port-{index}.s3").read_text().strip().rpartition(":")
            peer = Peer(await anyio.connect_tcp(host, int(port)), h11.CLIENT)
        except OSError:
            self.counts["gateway not running"] += 1
            await anyio.sleep(0.05)
            return 0, {}, b""
        try:
            request_headers = [("host", "x"), ("content-length", str(len(body)))]
            body_events = [h11.Data(data=body)] if body else []
            await peer.send(
                h11.Request(method=method, target=target, headers=request_headers),
                *body_events,
                h11.EndOfMessage(),
            )
            with anyio.fail_after(DEADLINE_S + 5):
                while not isinstance(event := await peer.event(), h11.EndOfMessage):
                    if isinstance(event, h11.Response):
                        if status:
                            self.violations.append(f"two responses to {method} {target}")
                        status = event.status_code
                        headers = {name.decode(): value.decode() for name, value in event.headers}
                    elif isinstance(event, h11.Data):
                        response_body += event.data
                    elif isinstance(event, h11.ConnectionClosed):
                        raise anyio.EndOfStream
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            if self.gateways[index].returncode is None and index not in self.gateways_being_killed:
                self.counts["connections cut"] += 1
            status = 0
        except TimeoutError:
            self.violations.append(f"no response to {method} {target}")
            status = 0
        finally:
            await anyio.aclose_forcefully(peer.stream)
        duration_s = time.monotonic() - started_at
        self.slowest_s = max(self.slowest_s, duration_s if status else 0.0)
        # A completion or a copy consists of several requests to stores, all within the deadline of the first.
        if status and duration_s > DEADLINE_S + TOLERANCE_S:
            self.violations.append(f"{method} {target}: response {status} after {duration_s:.2f} s")
        self.counts[f"responses {status}"] += 1
        return status, headers, response_body

    gateways_being_killed: frozenset[int] = frozenset()

    async def ask_until_done(
        self, method: str, target: str, body: bytes = b"", expected_statuses: tuple[int, ...] = (200, 204)
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request to either gateway until the response has an expected status."""
        for attempt in range(80):
            response = await self.ask(self.random.randrange(2), method, target, body)
            if response[0] in expected_statuses:
                return response
            await anyio.sleep(min(1.0, 0.05 * 2 ** min(attempt, 4)) * self.random.uniform(0.5, 1.0))
        self.violations.append(
            f"{method} {target}: never completed, last response {response[0]} {response[2][:200]!r}"
        )
        return response

    async def upload_object(self, number: int) -> None:
        """Uploads an object in parts, and reads it back; or aborts the upload."""
        await anyio.sleep(self.random.uniform(0.0, 3.0))
        key = f"/school-{number % 4}/object-{number}"
        parts = [os.urandom(MIN_PART_BYTES + self.random.randrange(MIN_PART_BYTES)) for _ in range(3)]
        _, _, response = await self.ask_until_done("POST", key + "?uploads")
        upload_id_match = re.search(rb"<UploadId>([^<]+)</UploadId>", response)
        if not upload_id_match:
            return
        upload_id = upload_id_match[1].decode()
        etags: dict[int, str] = {}

        async def put_part(part_number: int, body: bytes) -> None:
            status, headers, _ = await self.ask_until_done(
                "PUT", f"{key}?partNumber={part_number}&uploadId={upload_id}", body, (200, 404)
            )
            etags[part_number] = headers.get("etag", "")
            if status == 404 and upload_id not in self.aborted:
                self.violations.append(f"part {part_number} of {key}: the upload does not exist")

        async with anyio.create_task_group() as group:
            for part_number, part in enumerate(parts, 1):
                group.start_soon(put_part, part_number, part)
            if self.random.random() < 0.2:
                await anyio.sleep(self.random.uniform(0.0, 0.5))
                self.aborted.add(upload_id)
                await self.ask_until_done("DELETE", f"{key}?uploadId={upload_id}", b"", (204, 404))
        if upload_id in self.aborted:
            self.counts["aborted"] += 1
            return
        listed = "".join(
            f"<Part><PartNumber>{part_number}</PartNumber><ETag>{escape(etags[part_number])}</ETag></Part>"
            for part_number in etags
        )
        document = f"<CompleteMultipartUpload>{''.join(sorted(re.findall('<Part>.*?</Part>', listed)))}</CompleteMultipartUpload>"
        await self.ask_until_done("POST", f"{key}?uploadId={upload_id}", document.encode())
        _, _, stored = await self.ask_until_done("GET", key)
        if stored != b"".join(parts):
            self.violations.append(
                f"{key}: {len(stored)} bytes read back, not the {sum(map(len, parts))} that were sent"
            )
        self.counts["objects"] += 1

    async def inject_faults(self) -> None:
        """Injects faults into stores until cancelled."""
        while True:
            await anyio.sleep(self.random.uniform(0.01, 0.06))
            store = self.random.choice(self.stores)
            fault = self.random.choice(
                (
                    "silence",
                    "reset-after-run",
                    "die-mid-request",
                    "shed",
                    "error",
                    "slow",
                    "die-mid-answer",
                    "kill",
                )
            )
            self.counts["fault " + fault] += 1
            if fault == "slow":
                store.slowdown = self.random.choice((1.0, 4.0))
            elif fault == "kill":
                if store.up and self.random.random() < 0.3:
                    store.kill()
                    await anyio.sleep(0.3)
                    await store.start(self.group)
            elif len(store.tricks) < 2:
                store.tricks.append(fault)

    @staticmethod
    async def kill(process: Process) -> None:
        """Kills a gateway process."""
        if process.returncode is None:
            process.kill()
        await process.wait()
        await process.aclose()

    async def kill_gateways(self) -> None:
        """Kills and restarts gateways, one at a time."""
        for _ in range(self.kills):
            await anyio.sleep(self.random.uniform(0.1, 0.5))
            index = self.random.randrange(2)
            self.gateways_being_killed = frozenset((index,))
            await self.kill(self.gateways[index])
            self.counts["kills"] += 1
            await self.start_gateway(index)
            self.gateways_being_killed = frozenset()

    async def run(self) -> None:
        """Runs all uploads, and checks the stores."""
        async with anyio.create_task_group() as group:
            self.group = group
            await self.list_service.start(group)
            for shard in range(8):
                store = Store(
                    StoreSpec(shard, unit_ms=1.0, cores=4),
                    ObjectStore(),
                    DeduplicationGroup(),
                    UsageMeter(),
                    self.record,
                    seed=shard,
                )
                self.stores.append(store)
                await store.start(group)
                await self.list_service.set(store.name, "ready", shard, "hall-a")
            try:
                for index in range(2):
                    await self.start_gateway(index)
                with anyio.CancelScope() as faults_scope:
                    async with anyio.create_task_group() as faults_group:
                        faults_group.start_soon(self.inject_faults)
                        async with anyio.create_task_group() as uploads_group:
                            for number in range(self.uploads):
                                uploads_group.start_soon(self.upload_object, number)
                            uploads_group.start_soon(self.kill_gateways)
                        faults_scope.cancel()
                self._check_stores()
            finally:
                with anyio.CancelScope(shield=True):
                    for process in self.gateways.values():
                        await self.kill(process)
                group.cancel_scope.cancel()

    def _check_stores(self) -> None:
        for store in self.stores:
            for upload in store.object_store.uploads:
                if upload in self.aborted:
                    self.violations.append(f"a part of the aborted upload {upload} still exists")
                else:
                    self.counts["uploads whose start got no response"] += 1  # they expire after upload_keep
        effects = Counter(
            (seen["request"], seen["object"]) for seen in self.record.entries
            if seen["what"] == "effect" and seen["method"] == "PUT"
        )  # fmt: skip
        self.counts["effects"] = sum(effects.values())


def run_seed(seed: int, uploads: int, kills: int) -> Run:
    """Runs one seed."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), seed, uploads, kills)
        anyio.run(run.run)
    return run


def main() -> None:
    """Runs all seeds, and prints the counts and the violations."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--uploads", type=int, default=100)
    parser.add_argument("--kills", type=int, default=20)
    options = parser.parse_args()
    counts: Counter[str] = Counter()
    violations: list[str] = []
    slowest_s = 0.0
    for seed in range(options.first, options.first + options.seeds):
        run = run_seed(seed, options.uploads, options.kills)
        print(
            f"seed {seed}: {run.counts['objects']} objects, {run.counts['kills']} kills, {len(run.violations)} violations",
            flush=True,
        )
        counts += run.counts
        violations += run.violations
        slowest_s = max(slowest_s, run.slowest_s)
    print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
    print(f"slowest response {slowest_s:.2f} s; {len(violations)} violations")
    for text in violations[:20]:
        print(" ", text)
    raise SystemExit(bool(violations))


if __name__ == "__main__":
    main()
