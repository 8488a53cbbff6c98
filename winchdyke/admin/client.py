"""The other end of the admin API: for the command line, and for programs. Waits for answers; not for an event loop."""

from __future__ import annotations

import http.client
import json
import socket
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from winchdyke.admin.keys import Key, KeysError, read
from winchdyke.config_rollout.operations import OperationError

TIMEOUT_S = 60.0
TRIES = 3  # where a gateway has just started


class _Local(http.client.HTTPConnection):
    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=TIMEOUT_S)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self._path)


class There:
    """A gateway's admin API at ``unix:PATH`` or ``http://HOST:PORT``."""

    def __init__(self, where: str, key_file: Path | None = None, who: str = "") -> None:
        self.where, self._who = where, who
        self._path = where.removeprefix("unix:") if where.startswith("unix:") else ""
        self._key: Key | None = None
        self._connection: http.client.HTTPConnection
        if self._path:
            self._connection = _Local(self._path)
            return
        parts = urlsplit(where)
        if parts.scheme != "http" or not parts.hostname or parts.path not in ("", "/"):
            raise OperationError(
                "where", f"{where} is no place of an admin API: unix:PATH or http://HOST:PORT"
            )
        if key_file is None:
            raise OperationError("no-key", f"{where} wants signed requests: give --key FILE")
        try:
            now = time.time() * 1000
            good = [key for key in read(key_file) if key.good(now)]
        except KeysError as error:
            raise OperationError("key", str(error)) from error
        if not good:
            raise OperationError("key", f"{key_file}: none of its keys counts now; ask for another one")
        self._key = max(good, key=lambda key: key.since_ms)
        self._connection = http.client.HTTPConnection(parts.hostname, parts.port or 80, timeout=TIMEOUT_S)

    def call(self, **operation: Any) -> dict[str, Any]:
        """Ask for an operation; DeskError with the gateway's words."""
        return self._until_told(json.dumps(operation).encode(), "/v1/changes")

    def fleet(self) -> dict[str, Any]:
        """What it believes of the other gateways; DeskError with its words."""
        return self._until_told(b"{}", "/v1/fleet")

    def _until_told(self, body: bytes, path: str) -> dict[str, Any]:
        for left in range(TRIES - 1, -1, -1):
            status, after, found = self._ask(body, path)
            if status == 200:
                return found
            if status == 503 and after and left:
                time.sleep(min(after, 10.0))
                continue
            text = str(found.pop("text", f"the gateway answered {status}"))
            raise OperationError(str(found.pop("error", "http")), text, found)
        raise AssertionError

    def _ask(self, body: bytes, path: str) -> tuple[int, float, dict[str, Any]]:
        headers = {"content-type": "application/json"}
        if self._who:
            headers["winchdyke-who"] = self._who
        if self._key is not None:
            from winchdyke.admin.signing import Message, sign

            place = f"{self._connection.host}:{self._connection.port}"
            headers["host"] = place
            message = Message("POST", f"http://{place}{path}", headers)
            sign(message, body, self._key)
        try:
            self._connection.request("POST", path, body, headers)
            answer = self._connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
            raise OperationError("unreachable", f"no gateway answers at {self.where}: {reason}") from error
        try:
            found = json.loads(data)
        except ValueError:
            found = {}
        after = answer.getheader("retry-after") or "0"
        return answer.status, float(after), found if isinstance(found, dict) else {}
