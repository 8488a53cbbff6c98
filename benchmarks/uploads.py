"""Uploads in parts through troubles and killed gateways: each request answered once and in time, each object back byte for byte.

python benchmarks/uploads.py [--seeds 10] [--uploads 100] [--kills 20]

Two gateway processes and eight stand-in stores. Stores slow down, take a request and say nothing, reset, shed, die and start anew; a
gateway is killed with SIGKILL and started again, so many times a run. Clients put objects of three parts, all at once, at either
gateway; they repeat what is not answered or may be repeated, as S3 clients do; one in five gives its upload up. Judged from the
clients and the stores alone. Wrong is: an answer after the class's deadline, a second answer, an object that is not as it was
sent, a part of an upload that was given up, an upload that nobody completes and that is still there once it is to be forgotten.
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
SLACK_S = 0.25  # on a busy machine, between the gateway's last word and the client's clock
KEEP_S = 60.0  # the shortest that settings take
PART = 60_000
TROUBLES = (
    "silence", "reset-after-run", "die-mid-request", "shed", "error", "slow", "die-mid-answer", "kill",
)  # fmt: skip


def settings(folder: Path, index: int, list_port: int) -> str:
    """The embedded settings, with an S3 listener for anyone."""
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
        self.folder, self.draw = folder, random.Random(seed)
        self.uploads, self.kills = uploads, kills
        self.record, self.list = Record(), ListService(Record())
        self.stores: list[Store] = []
        self.gateways: dict[int, Process] = {}
        self.wrong: list[str] = []
        self.counts: Counter[str] = Counter()
        self.given_up: set[str] = set()
        self.slowest = 0.0

    async def start(self, index: int) -> None:
        """A gateway process; back once it listens."""
        port = self.folder / f"port-{index}"
        port.unlink(missing_ok=True)
        file = self.folder / f"g{index}.ini"
        file.write_text(settings(self.folder, index, self.list.port))
        with open(self.folder / f"log-{index}", "ab") as log:
            self.gateways[index] = await anyio.open_process(
                [sys.executable, "-m", "winchdyke", "serve", "-c", str(file)], stdout=log, stderr=log
            )
        with anyio.fail_after(30):
            while not port.exists():
                await anyio.sleep(0.01)

    async def ask(
        self, index: int, method: str, target: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """One request and its answer; status 0 where the gateway was gone."""
        began = time.monotonic()
        status, headers, got = 0, {}, b""
        self.counts["requests"] += 1
        try:
            host, _, port = (self.folder / f"port-{index}.s3").read_text().strip().rpartition(":")
            peer = Peer(await anyio.connect_tcp(host, int(port)), h11.CLIENT)
        except OSError:
            self.counts["no gateway"] += 1
            await anyio.sleep(0.05)
            return 0, {}, b""
        try:
            fields = [("host", "x"), ("content-length", str(len(body)))]
            data = [h11.Data(data=body)] if body else []
            await peer.send(
                h11.Request(method=method, target=target, headers=fields), *data, h11.EndOfMessage()
            )
            with anyio.fail_after(DEADLINE_S + 5):
                while not isinstance(event := await peer.event(), h11.EndOfMessage):
                    if isinstance(event, h11.Response):
                        if status:
                            self.wrong.append(f"two answers to {method} {target}")
                        status = event.status_code
                        headers = {name.decode(): value.decode() for name, value in event.headers}
                    elif isinstance(event, h11.Data):
                        got += event.data
                    elif isinstance(event, h11.ConnectionClosed):
                        raise anyio.EndOfStream
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            if self.gateways[index].returncode is None and index not in self.dying:
                self.counts["cut"] += 1
            status = 0
        except TimeoutError:
            self.wrong.append(f"no answer to {method} {target}")
            status = 0
        finally:
            await anyio.aclose_forcefully(peer.stream)
        took = time.monotonic() - began
        self.slowest = max(self.slowest, took if status else 0.0)
        # A completion and a copy are several requests to stores, all within the first one's deadline.
        if status and took > DEADLINE_S + SLACK_S:
            self.wrong.append(f"{method} {target}: answered {status} after {took:.2f} s")
        self.counts[f"answers {status}"] += 1
        return status, headers, got

    dying: frozenset[int] = frozenset()

    async def insist(
        self, method: str, target: str, body: bytes = b"", done: tuple[int, ...] = (200, 204)
    ) -> tuple[int, dict[str, str], bytes]:
        """Ask either gateway until one of these answers comes."""
        for attempt in range(80):
            answer = await self.ask(self.draw.randrange(2), method, target, body)
            if answer[0] in done:
                return answer
            await anyio.sleep(min(1.0, 0.05 * 2 ** min(attempt, 4)) * self.draw.uniform(0.5, 1.0))
        self.wrong.append(f"{method} {target}: never done, at last {answer[0]} {answer[2][:200]!r}")
        return answer

    async def one(self, number: int) -> None:
        """One upload, and its object read back."""
        await anyio.sleep(self.draw.uniform(0.0, 3.0))
        key = f"/school-{number % 4}/object-{number}"
        parts = [os.urandom(PART + self.draw.randrange(PART)) for _ in range(3)]
        _, _, made = await self.insist("POST", key + "?uploads")
        found = re.search(rb"<UploadId>([^<]+)</UploadId>", made)
        if not found:
            return
        upload = found[1].decode()
        tags: dict[int, str] = {}

        async def put(at: int, body: bytes) -> None:
            status, headers, _ = await self.insist(
                "PUT", f"{key}?partNumber={at}&uploadId={upload}", body, (200, 404)
            )
            tags[at] = headers.get("etag", "")
            if status == 404 and upload not in self.given_up:
                self.wrong.append(f"part {at} of {key}: the upload is gone")

        async with anyio.create_task_group() as group:
            for at, part in enumerate(parts, 1):
                group.start_soon(put, at, part)
            if self.draw.random() < 0.2:
                await anyio.sleep(self.draw.uniform(0.0, 0.5))
                self.given_up.add(upload)
                await self.insist("DELETE", f"{key}?uploadId={upload}", b"", (204, 404))
        if upload in self.given_up:
            self.counts["given up"] += 1
            return
        named = "".join(
            f"<Part><PartNumber>{at}</PartNumber><ETag>{escape(tags[at])}</ETag></Part>" for at in tags
        )
        document = f"<CompleteMultipartUpload>{''.join(sorted(re.findall('<Part>.*?</Part>', named)))}</CompleteMultipartUpload>"
        await self.insist("POST", f"{key}?uploadId={upload}", document.encode())
        _, _, got = await self.insist("GET", key)
        if got != b"".join(parts):
            self.wrong.append(f"{key}: {len(got)} bytes back, not the {sum(map(len, parts))} that were sent")
        self.counts["objects"] += 1

    async def troubles(self) -> None:
        """Stores in trouble, until cancelled."""
        while True:
            await anyio.sleep(self.draw.uniform(0.01, 0.06))
            store = self.draw.choice(self.stores)
            what = self.draw.choice(
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
            self.counts["trouble " + what] += 1
            if what == "slow":
                store.slowdown = self.draw.choice((1.0, 4.0))
            elif what == "kill":
                if store.up and self.draw.random() < 0.3:
                    store.kill()
                    await anyio.sleep(0.3)
                    await store.start(self.group)
            elif len(store.tricks) < 2:
                store.tricks.append(what)

    @staticmethod
    async def end(process: Process) -> None:
        """Kill a gateway."""
        if process.returncode is None:
            process.kill()
        await process.wait()
        await process.aclose()

    async def killing(self) -> None:
        """Gateways killed and started again, one after another."""
        for _ in range(self.kills):
            await anyio.sleep(self.draw.uniform(0.1, 0.5))
            index = self.draw.randrange(2)
            self.dying = frozenset((index,))
            await self.end(self.gateways[index])
            self.counts["kills"] += 1
            await self.start(index)
            self.dying = frozenset()

    async def run(self) -> None:
        """Play it, and judge."""
        async with anyio.create_task_group() as group:
            self.group = group
            await self.list.start(group)
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
                await self.list.set(store.name, "ready", shard, "hall-a")
            try:
                for index in range(2):
                    await self.start(index)
                with anyio.CancelScope() as trouble:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(self.troubles)
                        async with anyio.create_task_group() as work:
                            for number in range(self.uploads):
                                work.start_soon(self.one, number)
                            work.start_soon(self.killing)
                        trouble.cancel()
                self._judge()
            finally:
                with anyio.CancelScope(shield=True):
                    for process in self.gateways.values():
                        await self.end(process)
                group.cancel_scope.cancel()

    def _judge(self) -> None:
        for store in self.stores:
            for upload in store.object_store.uploads:
                if upload in self.given_up:
                    self.wrong.append(f"a part of {upload}, which was given up, is there still")
                else:
                    self.counts["uploads whose start was not heard of"] += 1  # forgotten after upload_keep
        effects = Counter(
            (seen["request"], seen["object"]) for seen in self.record.entries
            if seen["what"] == "effect" and seen["method"] == "PUT"
        )  # fmt: skip
        self.counts["effects"] = sum(effects.values())


def played(seed: int, uploads: int, kills: int) -> Run:
    """One run."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), seed, uploads, kills)
        anyio.run(run.run)
    return run


def main() -> None:
    """All seeds, and what was wrong."""
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--seeds", type=int, default=10)
    asked.add_argument("--first", type=int, default=1)
    asked.add_argument("--uploads", type=int, default=100)
    asked.add_argument("--kills", type=int, default=20)
    given = asked.parse_args()
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    slowest = 0.0
    for seed in range(given.first, given.first + given.seeds):
        run = played(seed, given.uploads, given.kills)
        print(
            f"seed {seed}: {run.counts['objects']} objects, {run.counts['kills']} kills, {len(run.wrong)} wrong",
            flush=True,
        )
        counts += run.counts
        wrong += run.wrong
        slowest = max(slowest, run.slowest)
    print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
    print(f"slowest answer {slowest:.2f} s; {len(wrong)} wrong")
    for text in wrong[:20]:
        print(" ", text)
    raise SystemExit(bool(wrong))


if __name__ == "__main__":
    main()
