"""Measures the cost of the S3 dialect and its signatures, with small reads and parts of 8 MiB.

python benchmarks/s3.py [--rounds 3] [--seconds 2]

One run has a gateway with an S3 listener, a pass-through proxy for comparison that uses the same HTTP code
and makes no decisions, and lean stores. Requests are signed before the measurement. The output shows medians, and
ratios that are computed for each round, because machines are shared and noisy.
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
import gateway as gateway_benchmark
from lean import Client

from winchdyke.auth.keys import Right, add_master_key, create_key, write_keys
from winchdyke.auth.sigv4 import UNSIGNED_PAYLOAD, sign
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record

HERE = Path(__file__).parent
PART_BYTES, PARTS_PER_RUN, CONNECTIONS = 8 << 20, 8, 16
PART_SHA256 = hashlib.sha256(bytes(PART_BYTES)).hexdigest()
EMPTY_SHA256 = hashlib.sha256(b"").hexdigest()


async def client(port: int, request_file: Path, connections: int, seconds: float) -> dict[str, float]:
    """Sends the requests of a file, each a head and the length of a body, in a closed loop.

    With ``seconds`` 0, each connection sends the rest of the list once.
    """
    requests = json.loads(request_file.read_text())
    errors = completed = 0
    started_at = time.perf_counter()

    async def run_connection(index: int) -> None:
        nonlocal errors, completed
        connection = (await asyncio.get_running_loop().create_connection(Client, "127.0.0.1", port))[1]
        position = index * 7
        while (seconds and time.perf_counter() < started_at + seconds) or (
            not seconds and position < len(requests)
        ):
            head, body_bytes = requests[position % len(requests)]
            status = await connection.ask(head.encode(), body_bytes)
            position, completed, errors = position + 1, completed + 1, errors + (status >= 400)

    await asyncio.gather(*(run_connection(index) for index in range(connections)))
    return {"done": completed, "bad": errors, "seconds": time.perf_counter() - started_at}


def raw_requests_of(
    target: str, workload: str, host: str, access_key: tuple[str, str]
) -> list[tuple[str, int]]:
    """The heads and body lengths of small reads, reads of parts, or writes of parts."""
    raw_requests = []
    for number in range(256 if workload == "small" else PARTS_PER_RUN):
        method, body_bytes = ("PUT", PART_BYTES) if workload == "put" else ("GET", 0)
        path = f"/v/k-{number}" if workload == "small" else "/v/big-8" if workload == "get" else "/v/put-8"
        query = "partNumber=1&uploadId=u1" if workload == "put" and target != "pass" else ""
        lines = [f"{method} {path}{'?' + query if query else ''} HTTP/1.1", f"content-length: {body_bytes}"]
        if target in ("pass", "unsigned"):
            lines.append(f"host: {host}")
        else:
            payload_hash = (
                EMPTY_SHA256
                if workload != "put"
                else PART_SHA256
                if target == "signed, hashed"
                else UNSIGNED_PAYLOAD
            )
            headers = sign(method, host, path, query, payload_hash, *access_key, time.time())
            lines += [f"{name.decode()}: {value.decode()}" for name, value in headers]
        raw_requests.append(("\r\n".join(lines) + "\r\n\r\n", body_bytes))
    return raw_requests


def measure(
    targets: dict[str, tuple[int, int]],
    access_key: tuple[str, str],
    rounds: int,
    seconds: float,
    folder: Path,
):
    """Measures all workloads on all targets; returns the values of all rounds by figure and target."""
    figures: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for round_number in range(rounds + 1):
        for workload in ("small", "get", "put"):
            for target, (port, pid) in targets.items():
                request_file = folder / "requests"
                request_file.write_text(
                    json.dumps(raw_requests_of(target, workload, f"127.0.0.1:{port}", access_key))
                )
                small = workload == "small"
                arguments = [
                    str(port),
                    str(request_file),
                    str(CONNECTIONS if small else 1),
                    str(seconds if small else 0),
                ]
                cpu_before = gateway_benchmark.cpu_s(pid)
                result = subprocess.run(
                    [sys.executable, str(HERE / "s3.py"), "client", *arguments],
                    capture_output=True,
                    text=True,
                    check=True,
                )
                client_run, cpu_s = json.loads(result.stdout), gateway_benchmark.cpu_s(pid) - cpu_before
                if not round_number:
                    continue  # warm-up
                figures["error responses"][target].append(client_run["bad"])
                if small:
                    figures["small reads/s"][target].append(client_run["done"] / client_run["seconds"])
                    figures["CPU us per small read"][target].append(cpu_s * 1e6 / client_run["done"])
                else:
                    transferred_mib = client_run["done"] * PART_BYTES / 2**20
                    figures[f"MiB/s of parts, {workload}"][target].append(
                        transferred_mib / client_run["seconds"]
                    )
                    figures[f"CPU us per MiB, {workload}"][target].append(cpu_s * 1e6 / transferred_mib)
    return figures


async def run(rounds: int, seconds: float, folder: Path):
    """Starts all processes, and measures."""
    processes: list[subprocess.Popen] = []
    try:
        stores = [
            gateway_benchmark.start_process(str(HERE / "lean.py"), "store")
            for _ in range(gateway_benchmark.STORES)
        ]
        processes += [process for process, _ in stores]
        ports = [port for _, port in stores]
        passthrough, passthrough_port = gateway_benchmark.start_process(
            str(HERE / "passthrough.py"), *map(str, ports)
        )
        processes.append(passthrough)
        add_master_key(folder / "master")
        key, secret = create_key("bench", [Right("*", "", ["read", "write", "list"])], folder / "master", 0.0)
        write_keys(folder / "keys", [key])
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, port in enumerate(ports):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            settings = gateway_benchmark.SETTINGS.format(
                port_file=folder / "port",
                list_port=listing.port,
                last=gateway_benchmark.STORES - 1,
                log="none",
            ).replace("put post delete", "put post delete put-part")
            settings += f"\n[s3]\nlisten = 127.0.0.1:0\nkeys = {folder}/keys\nmaster = {folder}/master\nunsigned = all\n"
            (folder / "bench.ini").write_text(settings)
            command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(folder / "bench.ini")]
            with (folder / "log").open("wb") as log_file:
                gateway = subprocess.Popen(command, stdout=log_file, stderr=log_file)
            processes.append(gateway)
            with anyio.fail_after(30):
                while not (folder / "port").exists():
                    await anyio.sleep(0.02)
            port = int((folder / "port.s3").read_text().strip().rpartition(":")[2])
            await anyio.sleep(0.5)
            gateway_target = port, gateway.pid
            targets = {
                "pass": (passthrough_port, passthrough.pid),
                "unsigned": gateway_target,
                "signed": gateway_target,
                "signed, hashed": gateway_target,
            }
            access_key = key.id, secret
            figures = await anyio.to_thread.run_sync(measure, targets, access_key, rounds, seconds, folder)
            group.cancel_scope.cancel()
        return figures
    finally:
        for process in processes:
            process.kill()


def main() -> None:
    """Measures and prints the figures; or runs as a client process of a measurement."""
    if sys.argv[1:2] == ["client"]:
        port, file, connections, seconds = sys.argv[2:]
        print(json.dumps(asyncio.run(client(int(port), Path(file), int(connections), float(seconds)))))
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-s3-") as folder:
        figures = anyio.run(run, options.rounds, options.seconds, Path(folder))
    for figure, by_target in figures.items():
        print(
            f"{figure:26}"
            + "  ".join(
                f"{target}: {statistics.median(values):10.1f}" for target, values in by_target.items()
            )
        )
        for target in ("unsigned", "signed", "signed, hashed"):
            ratios = [a / b for a, b in zip(by_target[target], by_target["pass"], strict=True) if b]
            if ratios:
                print(
                    f"    {target} / pass {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
                )
        ratios = [a / b for a, b in zip(by_target["signed"], by_target["unsigned"], strict=True) if b]
        if ratios:
            print(
                f"    signed / unsigned {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
            )


if __name__ == "__main__":
    main()
