"""Requests signed with a shared key: HTTP Message Signatures (RFC 9421) with HMAC-SHA-256, over method, host, path and the body's
digest (RFC 9530), with the time and a nonce.

A request is accepted once. Nonces are stored for as long as a signature may be valid; after a start, requests that may have been
signed before it are rejected, since the nonces of the previous process are lost. The host is signed, so a request is valid at only
one gateway.
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
    VerifyResult,
    algorithms,
)
from http_message_signatures.exceptions import HTTPMessageSignaturesException

from winchdyke.admin.keys import Key, KeyFileError, KeyRing

TAG = "winchdyke-admin"
LABEL = "admin"
COVERED_COMPONENTS = ("@method", "@authority", "@path", "content-digest")
NONCE_BYTES = 16
MAX_AGE_SECONDS = 30
MAX_CLOCK_SKEW_SECONDS = 5
MAX_NONCES = 100_000
MIN_NONCES_TO_EXPIRE = 1000  # number of nonces from which expired ones are removed
MAX_DETAIL_CHARACTERS = 200
BUSY_RETRY_SECONDS = 5.0


class SignatureError(Exception):
    """A request that is rejected; its text does not reveal which keys exist.

    Attributes:
        code: The reason, for programs.
        text: What is wrong and what to do, for people.
        retry_after_seconds: The wait after which another request may be accepted; 0: not known.
    """

    def __init__(self, code: str, text: str, retry_after_seconds: float = 0.0) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.retry_after_seconds = retry_after_seconds


@dataclass
class Message:
    """A request as the signature covers it."""

    method: str
    url: str
    headers: dict[str, str]


class _KeyResolver(HTTPSignatureKeyResolver):
    def __init__(self, find_secret: Callable[[str], bytes | None]) -> None:
        self._find_secret = find_secret

    def resolve_private_key(self, key_id: str) -> bytes | None:
        return self._find_secret(key_id)

    def resolve_public_key(self, key_id: str) -> bytes | None:
        return self._find_secret(key_id)


def sign(
    message: Message, body: bytes, key: Key, created_unix_s: float | None = None, nonce: str = ""
) -> None:
    """Add the body's digest and the signature to a message's headers; by default with the current time and a random nonce."""
    signer = HTTPMessageSigner(
        signature_algorithm=algorithms.HMAC_SHA256, key_resolver=_KeyResolver(lambda _: key.secret_bytes())
    )
    unix_s = time.time() if created_unix_s is None else created_unix_s
    signer.sign(
        message,
        key_id=key.id,
        created=datetime.datetime.fromtimestamp(unix_s, datetime.UTC),
        nonce=nonce or secrets.token_hex(NONCE_BYTES),
        label=LABEL,
        tag=TAG,
        covered_component_ids=COVERED_COMPONENTS[:3],  # the digest is added with the body
        body=body,
    )


class _Verifier(HTTPMessageVerifier):
    max_clock_skew = datetime.timedelta(seconds=MAX_CLOCK_SKEW_SECONDS)


class SignatureVerifier:
    """Verifies that requests are signed with a valid key, and accepts each request once."""

    def __init__(self, key_ring: KeyRing, clock: Callable[[], float] = time.time) -> None:
        """``clock``: the Unix time in seconds."""
        self._key_ring = key_ring
        self._clock = clock
        # A caller's clock may be ahead, so the previous process may have accepted signatures created before this time.
        self._accepted_from_unix_s = clock() + MAX_CLOCK_SKEW_SECONDS
        self._nonce_expiry_unix_s: dict[tuple[str, str], float] = {}  # expiry times by key id and nonce

    def verify(self, message: Message, body: bytes) -> Key:
        """Return the key that a request was signed with.

        Raises:
            SignatureError: The signature or the key is not valid, or the request was accepted before.
        """
        now = self._clock()
        signing_key: Key | None = None

        def find_secret(key_id: str) -> bytes | None:
            nonlocal signing_key
            signing_key = self._key_ring.find(key_id, now * 1000)
            return signing_key.secret_bytes() if signing_key is not None else None

        results = _verify_signatures(message, body, find_secret)
        if len(results) != 1 or signing_key is None:
            raise SignatureError("signature", "the request has to have exactly one signature")
        created = int(results[0].parameters["created"])
        self._accept_once(signing_key, results[0].nonce, created, now)
        return signing_key

    def _accept_once(self, key: Key, nonce: str | None, created_unix_s: int, now: float) -> None:
        if not nonce:
            raise SignatureError("nonce", "the signature has no nonce")
        if created_unix_s <= self._accepted_from_unix_s:
            retry_after_seconds = max(1.0, self._accepted_from_unix_s - now + 1)
            raise SignatureError(
                "just-started",
                "signed too early after this gateway's start; sign the request again",
                retry_after_seconds,
            )
        self._expire_nonces(now)
        used = (key.id, nonce)
        if used in self._nonce_expiry_unix_s:
            raise SignatureError("replayed", "this request was accepted before; sign a new one")
        if len(self._nonce_expiry_unix_s) >= MAX_NONCES:
            raise SignatureError("busy", "too many requests; retry later", BUSY_RETRY_SECONDS)
        lifetime_seconds = MAX_AGE_SECONDS + 2 * MAX_CLOCK_SKEW_SECONDS + 1
        self._nonce_expiry_unix_s[used] = created_unix_s + lifetime_seconds

    def _expire_nonces(self, now: float) -> None:
        if len(self._nonce_expiry_unix_s) >= MIN_NONCES_TO_EXPIRE:
            self._nonce_expiry_unix_s = {
                used: expiry for used, expiry in self._nonce_expiry_unix_s.items() if expiry > now
            }


def _verify_signatures(
    message: Message, body: bytes, find_secret: Callable[[str], bytes | None]
) -> list[VerifyResult]:
    verifier = _Verifier(signature_algorithm=algorithms.HMAC_SHA256, key_resolver=_KeyResolver(find_secret))
    try:
        return verifier.verify(
            message,
            max_age=datetime.timedelta(seconds=MAX_AGE_SECONDS),
            expect_tag=TAG,
            require_components=COVERED_COMPONENTS,
            body=body,
        )
    except KeyFileError as error:
        raise _unusable_keys() from error
    except (HTTPMessageSignaturesException, ValueError, TypeError) as error:
        if _is_caused_by_key_file(error):
            raise _unusable_keys() from error
        raise SignatureError("signature", f"not signed with a valid key: {_first_line(error)}") from error


def _unusable_keys() -> SignatureError:
    return SignatureError("keys", "the key file can't be used; see the gateway's log")


def _is_caused_by_key_file(error: BaseException) -> bool:
    """Return whether the library wrapped a KeyFileError, as a cause or an argument of its own error."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, KeyFileError) or any(isinstance(each, KeyFileError) for each in cause.args):
            return True
        cause = cause.__cause__
    return False


def _first_line(error: Exception) -> str:
    text = str(error).strip() or "it does not match"
    return text.splitlines()[0][:MAX_DETAIL_CHARACTERS]
