"""The client of the admin API, for the command line and for programs. Blocking: not for an event loop."""

from __future__ import annotations

import http.client
import json
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from winchdyke.admin.keys import Key, KeyFileError, read_keys
from winchdyke.config_rollout.operations import OperationError

TIMEOUT_SECONDS = 60.0
MAX_ATTEMPTS = 3  # attempts if the gateway answers 503 with Retry-After, as it does just after a start
MAX_RETRY_WAIT_SECONDS = 10.0
UNIX_SCHEME = "unix:"


class _UnixConnection(http.client.HTTPConnection):
    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=TIMEOUT_SECONDS)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self._path)


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    retry_after_seconds: float
    data: dict[str, Any]


class AdminClient:
    """A client of a gateway's admin API at ``unix:PATH`` or ``http://HOST:PORT``.

    All methods raise OperationError, with the gateway's code and text or with the reason why the gateway was not reached.
    """

    def __init__(self, target: str, key_file: Path | None = None, actor: str = "") -> None:
        """Prepare a connection; it is opened with the first request.

        ``key_file``: needed over TCP, where requests are signed. ``actor``: the name to record instead of the unix socket's user.
        """
        self._target = target
        self._actor = actor
        self._key: Key | None = None
        self._connection: http.client.HTTPConnection
        if target.startswith(UNIX_SCHEME):
            self._connection = _UnixConnection(target.removeprefix(UNIX_SCHEME))
            return
        parts = urlsplit(target)
        if parts.scheme != "http" or not parts.hostname or parts.path not in ("", "/"):
            raise OperationError(
                "where", f"{target} is not the address of an admin API; give unix:PATH or http://HOST:PORT"
            )
        if key_file is None:
            raise OperationError("no-key", f"{target} requires signed requests; give --key FILE")
        self._key = _newest_valid_key(key_file)
        self._connection = http.client.HTTPConnection(
            parts.hostname, parts.port or 80, timeout=TIMEOUT_SECONDS
        )

    def execute(self, **operation: Any) -> dict[str, Any]:
        """Have the gateway carry out an operation of ``config_rollout.operations``; ``op`` is its name."""
        return self._post_with_retries("/v1/changes", json.dumps(operation).encode())

    def fleet_status(self) -> dict[str, Any]:
        """Return the state of the other gateways as this gateway knows it."""
        return self._post_with_retries("/v1/fleet", b"{}")

    def _post_with_retries(self, path: str, body: bytes) -> dict[str, Any]:
        for attempts_left in range(MAX_ATTEMPTS - 1, -1, -1):
            response = self._post(path, body)
            if response.status == 200:
                return response.data
            if response.status == 503 and response.retry_after_seconds and attempts_left:
                time.sleep(min(response.retry_after_seconds, MAX_RETRY_WAIT_SECONDS))
                continue
            raise _error(response)
        raise AssertionError

    def _post(self, path: str, body: bytes) -> _Response:
        headers = {"content-type": "application/json"}
        if self._actor:
            headers["winchdyke-who"] = self._actor
        if self._key is not None:
            self._sign(path, body, headers, self._key)
        try:
            self._connection.request("POST", path, body, headers)
            response = self._connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
            raise OperationError("unreachable", f"no gateway answers at {self._target}: {reason}") from error
        retry_after_seconds = float(response.getheader("retry-after") or "0")
        return _Response(response.status, retry_after_seconds, _json_object(text))

    def _sign(self, path: str, body: bytes, headers: dict[str, str], key: Key) -> None:
        from winchdyke.admin.signing import Message, sign

        authority = f"{self._connection.host}:{self._connection.port}"
        headers["host"] = authority
        sign(Message("POST", f"http://{authority}{path}", headers), body, key)


def _newest_valid_key(key_file: Path) -> Key:
    now_ms = time.time() * 1000
    try:
        valid_keys = [key for key in read_keys(key_file) if key.is_valid(now_ms)]
    except KeyFileError as error:
        raise OperationError("key", str(error)) from error
    if not valid_keys:
        raise OperationError("key", f"{key_file}: none of its keys is valid now; ask for a new one")
    return max(valid_keys, key=lambda key: key.valid_from_ms)


def _json_object(text: bytes) -> dict[str, Any]:
    try:
        data = json.loads(text)
    except ValueError:
        return {}
    return data if isinstance(data, dict) else {}


def _error(response: _Response) -> OperationError:
    details = dict(response.data)
    text = str(details.pop("text", f"the gateway answered {response.status}"))
    return OperationError(str(details.pop("error", "http")), text, details)
