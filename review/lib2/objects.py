"""A small deployment of ``winchdyke serve``: gateways as processes, the project's own stand-in stores and list service.

The stores' objects outlive a store's process, as they do on a disk; a store that dies resets its connections and refuses
new ones until it is started again.
"""

from __future__ import annotations

import asyncio
from typing import Any

import anyio.abc
import common

from winchdyke import placement
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter

SETTINGS = """
gateway {{
    name = {name}
    index = {index}
    gateways = {gateways}
    zone = hall-a
    port_file = {folder}/{name}.port
}}
listener main {{ address = 127.0.0.1:0 }}
nodes {{ list = http://127.0.0.1:{list_port}/nodes }}
writeback {{
    folder = {folder}/{name}-log
    classes = {writes}
    segment_bytes = 1MiB
    total_bytes = 16MiB
}}
rules {{
    mean_units = 2
    largest_units = 8
    max_attempts = 3
    max_retry_after = 500ms
    cold_from = 20%
    warm_after = 10s
    fall_multiple = 3
    fall_window = 1500ms
    cold_units = 9
    extra_window = 5s
    extra_free = 3
    extra_share = 10%
}}
class {reads} {{
    operations = get, head, list, list-parts
    worth = 2
    aim = {read_aim}
    deadline = {read_deadline}
    effect = idempotent
}}
class {writes} {{
    operations = put, post, delete, start-upload, put-part, complete-upload, abort-upload
    worth = {write_worth}
    aim = 500ms
    deadline = {write_deadline}
    effect = keyed
    scope = {scope}
    memory = {memory}
    writes = yes
}}
plan school {{
    weight = 2
    usual_rate = 80 units/s
    reserve = 64 units/s
}}
volume school-* {{
    plan = school
    shards = 0-{last_shard}
    gateways = {gateways}
}}
"""

# What the briefs say of the classes; the store's memory of a key in milliseconds is the same figure.
BRNO = {
    "reads": "fetch",
    "read_aim": "400ms",
    "read_deadline": "3s",
    "writes": "submit",
    "write_worth": "3",
    "write_deadline": "2500ms",
    "scope": "zone",
    "memory": "4s",
}
MIDLANDS = {
    "reads": "lookup",
    "read_aim": "300ms",
    "read_deadline": "2s",
    "writes": "new-record",
    "write_worth": "2",
    "write_deadline": "3s",
    "scope": "cell",
    "memory": "5s",
}


class Note(Record):
    """The stand-ins' record, written to the record of the case as well."""

    def __init__(self, case: common.Case) -> None:
        super().__init__()
        self._case = case

    def note(self, who: str, what: str, **more: Any) -> Any:
        """Add an entry."""
        shown = {name: value for name, value in more.items() if name in SHOWN and value not in ("", "-")}
        if what not in ("who", "said", "told"):
            self._case.note(f"store {who}", what, **shown)
        return super().note(who, what, **more)


SHOWN = (
    "object",
    "gateway",
    "method",
    "repeat_key",
    "attempt",
    "status",
    "bytes",
    "trick",
    "how",
    "cold",
    "shard",
)


class Deployment:
    """Stores, list service and gateways.

    Attributes:
        record: What the stand-ins saw.
        stores: The stores by shard.
        ports: The gateways' ports by name.
    """

    def __init__(
        self,
        case: common.Case,
        group: anyio.abc.TaskGroup,
        gateways: int,
        stores: int = 8,
        site: dict[str, str] = BRNO,
    ) -> None:
        self.case, self.group, self.count, self.site = case, group, gateways, site
        self.record = Note(case)
        self.list = ListService(self.record)
        self.stores: list[Store] = []
        self.ports: dict[str, int] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._store_count = stores

    async def start(self) -> None:
        """Start the list service and the stores."""
        meter, rack = UsageMeter(), DeduplicationGroup()
        memory_ms = 1000.0 * float(self.site["memory"].removesuffix("s"))
        await self.list.start(self.group)
        for shard in range(self._store_count):
            if self.site["scope"] == "cell":
                rack = DeduplicationGroup()
            spec = StoreSpec(shard, unit_ms=8.0, cores=2, deduplication_window_ms=memory_ms)
            store = Store(spec, ObjectStore(), rack, meter, self.record, seed=shard)
            await store.start(self.group)
            self.stores.append(store)
            await self.list.set(store.name, "ready", shard, "hall-a")

    async def start_gateway(self, name: str, index: int) -> int:
        """Start a gateway as a process, wait until it serves, and return its port."""
        folder = self.case.folder
        path = folder / f"{name}.conf"
        port_file = folder / f"{name}.port"
        port_file.unlink(missing_ok=True)
        text = SETTINGS.format(
            name=name,
            index=index,
            gateways=self.count,
            folder=folder,
            list_port=self.list.port,
            last_shard=len(self.stores) - 1,
            **self.site,
        )
        path.write_text(text)
        process = await self.case.spawn(name, "-m", "winchdyke", "serve", "-c", str(path))
        self.processes[name] = process

        def listens() -> bool:
            if process.returncode is not None:
                raise common.CouldNotRunError(f"{name} did not start: {self.case.log_text(name)[-500:]}")
            return port_file.exists()

        await common.wait_for(listens, 30, f"{name} listens")
        self.ports[name] = int(port_file.read_text().rpartition(":")[2])

        async def serves() -> bool:
            answer = await common.ask(self.ports[name], "GET", "/school-0/nothing")
            return answer.status == 404

        await common.wait_for(serves, 20, f"{name} serves")
        return self.ports[name]

    def keys_on(self, volume: str, shard: int, count: int, prefix: str) -> list[str]:
        """Return names of objects that the volume keeps on a shard."""
        shards = range(len(self.stores))
        names = (f"{prefix}-{number}" for number in range(10_000))
        found = [name for name in names if placement.shard_of(volume, name, shards) == shard]
        return found[:count]

    async def put(self, name: str, volume: str, key: str, body: bytes, **headers: str) -> common.Answer:
        """Write an object as a client of a gateway."""
        self.case.note("client", "PUT", gateway=name, object=f"{volume}/{key}", body=body.decode(), **headers)
        answer = await common.ask(self.ports[name], "PUT", f"/{volume}/{key}", body, **headers)
        by = answer.headers.get("winchdyke-acknowledged", "-")
        self.case.note(
            "client",
            "answer",
            object=f"{volume}/{key}",
            status=answer.status,
            acknowledged_by=by,
            error=answer.error or "-",
        )
        return answer

    async def get(self, name: str, volume: str, key: str, patience_s: float = 15.0) -> common.Answer:
        """Read an object as a client, which tries again where it is refused."""
        end = self.case.seconds + patience_s
        while True:
            answer = await common.ask(self.ports[name], "GET", f"/{volume}/{key}")
            if answer.status in (200, 404) or self.case.seconds > end:
                break
            await asyncio.sleep(0.5)
        self.case.note(
            "client",
            "GET",
            gateway=name,
            object=f"{volume}/{key}",
            status=answer.status,
            body=answer.body.decode(errors="replace") or "-",
        )
        return answer

    def effects(self, key: str) -> list[dict[str, Any]]:
        """Return the writes of an object that took effect at its store, in order."""
        return [
            entry
            for entry in self.record.entries
            if entry["what"] == "effect" and entry["object"] == key and entry["method"] == "PUT"
        ]
