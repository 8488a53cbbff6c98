"""An emulated list service with long polls, whose responses can be delayed, outdated or failing."""

from __future__ import annotations

import json
import uuid
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup

from winchdyke.standins.record import Record
from winchdyke.standins.wire import Peer, accept_all, listen, reserve_port


class ListService:
    """Holds the list of endpoints and serves it.

    Attributes:
        port: The port; 0 before the first start.
        failing: ``error``: answers with status 500; ``silence``: accepts connections and does not answer;
            "": works normally.
        error_count: Number of requests answered with an error.
        late_ms: Delay until a change becomes visible, in milliseconds.
        by_index: Whether each response is the full list, and requests block on an index (``x-index``), not a
            token.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.failing = ""
        self.error_count = 0
        self.late_ms = 0.0
        self.by_index = False
        self._cached_copy: tuple[int, list[dict[str, Any]]] | None = None
        self._epoch = uuid.uuid4().hex[:8]
        self._entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, str]] = []
        self._version = 0
        self._list_changed = anyio.Event()
        self._scope: anyio.CancelScope | None = None

    async def start(self, group: TaskGroup) -> None:
        """Listen on the previous port, if any."""
        self.port = self.port or reserve_port(self)
        listener = await listen(self.port)
        self._scope = anyio.CancelScope()

        async def run(scope: anyio.CancelScope) -> None:
            with scope:
                await accept_all(listener, self._serve)

        group.start_soon(run, self._scope)

    def kill(self) -> None:
        """Stop listening, and close all connections."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None

    async def set(
        self, name: str, state: str, shard: int, zone: str, started_unix_ms: float = 0.0, identity: str = ""
    ) -> None:
        """Change an entry, visible after ``late_ms``; the state ``gone`` removes it from full lists."""
        if self.late_ms:
            await anyio.sleep(self.late_ms / 1000)
        self._version += 1
        self._entries[name] = {
            "name": name, "state": state, "shard": shard, "zone": zone, "started_unix_ms": started_unix_ms,
            "identity": identity,
        }  # fmt: skip
        self._changes.append((self._version, name))
        self._list_changed.set()
        self._list_changed = anyio.Event()

    def serve_cached_copy(self, keep: bool = True) -> None:
        """From now on answer requests for the full list with a cached copy of its current state."""
        entries = [dict(entry) for entry in self._entries.values() if entry["state"] != "gone"]
        self._cached_copy = (self._version, entries) if keep else None

    async def _serve(self, stream: SocketStream) -> None:
        peer = Peer(stream, h11.SERVER)
        event = await peer.event()
        if not isinstance(event, h11.Request):
            return
        while not isinstance(await peer.event(), h11.EndOfMessage):
            pass
        query = {name: values[0] for name, values in parse_qs(urlsplit(event.target.decode()).query).items()}
        if self.failing == "silence":
            await anyio.sleep_forever()
        if self.failing == "error":
            self.error_count += 1
            await self._respond(peer, 500, b"")
            return
        since = query.get("since", "")
        epoch, _, version = since.partition(":")
        known = int(version) if epoch == self._epoch and version.isdigit() else -1
        if self.by_index:
            known = int(query.get("index", "-1"))
            if known > self._version:
                known = -1  # the client's index is newer than the list, which was restored: answer at once
        if known >= self._version >= 0:
            with anyio.move_on_after(float(query.get("wait", "0").removesuffix("ms")) / 1000):
                while known >= self._version:
                    await self._list_changed.wait()
        if self.by_index:
            known = -1
        if known >= self._version:
            await self._respond(peer, 204, b"")
            return
        version_sent = self._version
        if known < 0 and self._cached_copy is not None:
            version_sent, nodes = self._cached_copy
            form = "cached"
        elif known < 0:
            form, nodes = (
                "full",
                [dict(entry) for entry in self._entries.values() if entry["state"] != "gone"],
            )
        else:
            names = dict.fromkeys(name for at, name in self._changes if at > known)
            form, nodes = "changes", [dict(self._entries[name]) for name in names]
        body = {
            "token": f"{self._epoch}:{version_sent}",
            "form": form,
            "nodes": nodes,
            "version": version_sent,
        }
        await self._respond(peer, 200, json.dumps(body).encode(), version_sent)
        states = {entry["name"]: entry["state"] for entry in nodes}
        starts = {entry["name"]: entry["started_unix_ms"] for entry in nodes}
        self.record.note(
            "list", "told", gateway=query.get("gateway", "-"), form=form, states=states, starts=starts
        )

    @staticmethod
    async def _respond(peer: Peer, status: int, body: bytes, index: int = 0) -> None:
        headers = [("connection", "close")] + ([("x-index", str(index))] if index else [])
        headers += [("content-length", str(len(body)))] if status != 204 else []
        data = [h11.Data(data=body)] if body else []
        await peer.send(h11.Response(status_code=status, headers=headers), *data, h11.EndOfMessage())
