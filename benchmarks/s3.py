"""What the S3 dialect and its signatures cost: small reads and parts of 8 MiB, against a pass-through that decides nothing.

python benchmarks/s3.py [--rounds 3] [--seconds 2]

One gateway with an S3 listener, the pass-through of the same HTTP parts, and lean stores, in one run; requests are signed before it.
Told are medians, and ratios taken round by round: machines are shared and noisy.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

import anyio
import gateway as plain
from lean import Client

from winchdyke.auth.keys import Right, add_master_key, create_key, write_keys
from winchdyke.auth.sigv4 import UNSIGNED_PAYLOAD, sign
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record

HERE = Path(__file__).parent
PART, MOVES, CONNECTIONS = 8 << 20, 8, 16
HASHED = hashlib.sha256(bytes(PART)).hexdigest()
EMPTY = hashlib.sha256(b"").hexdigest()


async def client(port: int, file: Path, connections: int, seconds: float) -> dict[str, float]:
    """A closed loop over requests in a file, each a head and a body's length; or, with one connection, each once."""
    requests = json.loads(file.read_text())
    bad = done = 0
    began = time.perf_counter()

    async def turn(first: int) -> None:
        nonlocal bad, done
        one = (await asyncio.get_running_loop().create_connection(Client, "127.0.0.1", port))[1]
        number = first * 7
        while (seconds and time.perf_counter() < began + seconds) or (not seconds and number < len(requests)):
            head, size = requests[number % len(requests)]
            status = await one.request(head.encode(), size)
            number, done, bad = number + 1, done + 1, bad + (status >= 400)

    await asyncio.gather(*(turn(number) for number in range(connections)))
    return {"done": done, "bad": bad, "seconds": time.perf_counter() - began}


def heads(kind: str, how: str, host: str, access: tuple[str, str]) -> list[tuple[str, int]]:
    """Raw requests: small reads, or parts read and written."""
    found = []
    for number in range(256 if how == "small" else MOVES):
        method, size = ("PUT", PART) if how == "put" else ("GET", 0)
        path = f"/v/k-{number}" if how == "small" else "/v/big-8" if how == "get" else "/v/put-8"
        query = "partNumber=1&uploadId=u1" if how == "put" and kind != "pass" else ""
        lines = [f"{method} {path}{'?' + query if query else ''} HTTP/1.1", f"content-length: {size}"]
        if kind in ("pass", "unsigned"):
            lines.append(f"host: {host}")
        else:
            payload = EMPTY if how != "put" else HASHED if kind == "signed, hashed" else UNSIGNED_PAYLOAD
            signed = sign(method, host, path, query, payload, *access, time.time())
            lines += [f"{name.decode()}: {value.decode()}" for name, value in signed]
        found.append(("\r\n".join(lines) + "\r\n\r\n", size))
    return found


def measured(
    targets: dict[str, tuple[int, int]], access: tuple[str, str], rounds: int, seconds: float, where: Path
):
    """All figures by what was measured and by target."""
    found: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for turn in range(rounds + 1):
        for how in ("small", "get", "put"):
            for kind, (port, pid) in targets.items():
                file = where / "requests"
                file.write_text(json.dumps(heads(kind, how, f"127.0.0.1:{port}", access)))
                small = how == "small"
                words = [str(port), str(file), str(CONNECTIONS if small else 1), str(seconds if small else 0)]
                before = plain.cpu_s(pid)
                done = subprocess.run(
                    [sys.executable, str(HERE / "s3.py"), "client", *words],
                    capture_output=True,
                    text=True,
                    check=True,
                )
                run, cpu = json.loads(done.stdout), plain.cpu_s(pid) - before
                if not turn:
                    continue  # warm-up
                found["answers that were errors"][kind].append(run["bad"])
                if small:
                    found["small reads/s"][kind].append(run["done"] / run["seconds"])
                    found["CPU us a small read"][kind].append(cpu * 1e6 / run["done"])
                else:
                    mib = run["done"] * PART / 2**20
                    found[f"MiB/s of parts, {how}"][kind].append(mib / run["seconds"])
                    found[f"CPU us a MiB, {how}"][kind].append(cpu * 1e6 / mib)
    return found


async def run(rounds: int, seconds: float, where: Path):
    """Start all, and measure."""
    processes: list[subprocess.Popen] = []
    try:
        stores = [plain.start_process(str(HERE / "lean.py"), "store") for _ in range(plain.STORES)]
        processes += [process for process, _ in stores]
        ports = [port for _, port in stores]
        passing, pass_port = plain.start_process(str(HERE / "passthrough.py"), *map(str, ports))
        processes.append(passing)
        add_master_key(where / "master")
        key, secret = create_key("bench", [Right("*", "", ["read", "write", "list"])], where / "master", 0.0)
        write_keys(where / "keys", [key])
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, port in enumerate(ports):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            text = plain.SETTINGS.format(
                port_file=where / "port", list_port=listing.port, last=plain.STORES - 1, log="none"
            ).replace("put post delete", "put post delete put-part")
            text += f"\n[s3]\nlisten = 127.0.0.1:0\nkeys = {where}/keys\nmaster = {where}/master\nunsigned = all\n"
            (where / "bench.ini").write_text(text)
            command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(where / "bench.ini")]
            with (where / "log").open("wb") as out:
                serving = subprocess.Popen(command, stdout=out, stderr=out)
            processes.append(serving)
            with anyio.fail_after(30):
                while not (where / "port").exists():
                    await anyio.sleep(0.02)
            port = int((where / "port.s3").read_text().strip().rpartition(":")[2])
            await anyio.sleep(0.5)
            mine = port, serving.pid
            targets = {
                "pass": (pass_port, passing.pid),
                "unsigned": mine,
                "signed": mine,
                "signed, hashed": mine,
            }
            access = key.id, secret
            found = await anyio.to_thread.run_sync(measured, targets, access, rounds, seconds, where)
            group.cancel_scope.cancel()
        return found
    finally:
        for process in processes:
            process.kill()


def main() -> None:
    """Measure and print; or be a client of a run."""
    if sys.argv[1:2] == ["client"]:
        port, file, connections, seconds = sys.argv[2:]
        print(json.dumps(asyncio.run(client(int(port), Path(file), int(connections), float(seconds)))))
        return
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--rounds", type=int, default=3)
    asked.add_argument("--seconds", type=float, default=2.0)
    given = asked.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-s3-") as where:
        found = anyio.run(run, given.rounds, given.seconds, Path(where))
    for what, by in found.items():
        print(
            f"{what:26}"
            + "  ".join(f"{kind}: {statistics.median(values):10.1f}" for kind, values in by.items())
        )
        for kind in ("unsigned", "signed", "signed, hashed"):
            ratios = [a / b for a, b in zip(by[kind], by["pass"], strict=True) if b]
            if ratios:
                print(
                    f"    {kind} / pass {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
                )
        ratios = [a / b for a, b in zip(by["signed"], by["unsigned"], strict=True) if b]
        if ratios:
            print(
                f"    signed / unsigned {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
            )


if __name__ == "__main__":
    main()
