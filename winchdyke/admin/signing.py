"""Requests signed with a shared key: HTTP Message Signatures (RFC 9421) with HMAC-SHA-256, over method, host, path and the body's
digest (RFC 9530), with the time and a nonce.

A request is good once. Nonces are kept for as long as a signature may count; after a start, what may have been signed before it is
refused, since the nonces of that time are gone. The host is signed, so a request is good at one gateway alone.
"""

from __future__ import annotations

import datetime
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from http_message_signatures import (
    HTTPMessageSigner,
    HTTPMessageVerifier,
    HTTPSignatureKeyResolver,
    algorithms,
)
from http_message_signatures.exceptions import HTTPMessageSignaturesException

from winchdyke.admin.keys import Key, KeysError, Ring

TAG = "winchdyke-admin"
COVERED = ("@method", "@authority", "@path", "content-digest")
AGE_S = 30  # for which a signature counts
SKEW_S = 5  # that clocks may be apart
NONCES = 100_000


class NotSigned(Exception):
    """A request that is not let in; ``code`` is for programs. Its text tells nothing of which keys there are."""

    def __init__(self, code: str, text: str, retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.code, self.text, self.retry_after_s = code, text, retry_after_s


@dataclass
class Message:
    """A request as the signature sees it."""

    method: str
    url: str
    headers: dict[str, str]


class _One(HTTPSignatureKeyResolver):
    def __init__(self, find: Callable[[str], bytes | None]) -> None:
        self.find = find

    def resolve_private_key(self, key_id: str) -> bytes | None:
        return self.find(key_id)

    def resolve_public_key(self, key_id: str) -> bytes | None:
        return self.find(key_id)


def sign(message: Message, body: bytes, key: Key, created: float | None = None, nonce: str = "") -> None:
    """Put digest and signature into a message's headers."""
    signer = HTTPMessageSigner(
        signature_algorithm=algorithms.HMAC_SHA256, key_resolver=_One(lambda _: key.raw())
    )
    at = datetime.datetime.fromtimestamp(time.time() if created is None else created, datetime.UTC)
    signer.sign(
        message, key_id=key.id, created=at, nonce=nonce or secrets.token_hex(16), label="admin", tag=TAG,
        covered_component_ids=COVERED[:3], body=body,
    )  # fmt: skip


class _Verifier(HTTPMessageVerifier):
    max_clock_skew = datetime.timedelta(seconds=SKEW_S)


class Guard:
    """Lets in requests that are signed with a key that counts, each once."""

    def __init__(self, ring: Ring, now: Callable[[], float] = time.time) -> None:
        self._ring, self._now = ring, now
        self._from = now() + SKEW_S  # a clock that is ahead may have signed until then for the process before
        self._nonces: dict[tuple[str, str], float] = {}

    def let_in(self, message: Message, body: bytes) -> Key:
        """Whose request it is; NotSigned."""
        now = self._now()
        found: list[Key] = []

        def find(name: str) -> bytes | None:
            key = self._ring.find(name, now * 1000)
            found[:] = [key] if key is not None else []
            return key.raw() if key is not None else None

        verifier = _Verifier(signature_algorithm=algorithms.HMAC_SHA256, key_resolver=_One(find))
        try:
            results = verifier.verify(
                message, max_age=datetime.timedelta(seconds=AGE_S), expect_tag=TAG, require_components=COVERED,
                body=body,
            )  # fmt: skip
        except KeysError as error:
            raise NotSigned("keys", "the file of keys can't be used; see the gateway's log") from error
        except (HTTPMessageSignaturesException, ValueError, TypeError) as error:
            cause: BaseException | None = error
            while cause is not None:
                if isinstance(cause, KeysError) or any(isinstance(each, KeysError) for each in cause.args):
                    raise NotSigned(
                        "keys", "the file of keys can't be used; see the gateway's log"
                    ) from error
                cause = cause.__cause__
            raise NotSigned(
                "signature", f"not signed with a key that counts here: {_short(error)}"
            ) from error
        if len(results) != 1 or not found:
            raise NotSigned("signature", "one signature is wanted")
        result = results[0]
        created, nonce = int(result.parameters["created"]), result.nonce
        if not nonce:
            raise NotSigned("nonce", "the signature has no nonce")
        if created <= self._from:
            left = max(1.0, self._from - now + 1)
            raise NotSigned(
                "just-started", "signed before this gateway had started for good; sign anew", left
            )
        self._forget(now)
        mine = (found[0].id, nonce)
        if mine in self._nonces:
            raise NotSigned("replayed", "this request was here before; sign another one")
        if len(self._nonces) >= NONCES:
            raise NotSigned("busy", "too many requests; come back later", 5.0)
        self._nonces[mine] = created + AGE_S + 2 * SKEW_S + 1
        return found[0]

    def _forget(self, now: float) -> None:
        if len(self._nonces) >= 1000:
            self._nonces = {mine: until for mine, until in self._nonces.items() if until > now}


def _short(error: Exception) -> str:
    text = str(error).strip() or "it does not fit"
    return text.splitlines()[0][:200]
