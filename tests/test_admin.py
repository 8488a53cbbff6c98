"""The admin API: authentication, rejected requests, single use of signatures, key files and listeners."""

from __future__ import annotations

import dataclasses
import json
import time
from contextlib import suppress

import anyio
import anyio.to_thread
import pytest
from click.testing import CliRunner
from rig import rig, run_async, settings

from winchdyke import durable_files
from winchdyke.admin.client import AdminClient
from winchdyke.admin.keys import Key, KeyFileError, KeyRing, create_key, read_keys, write_keys
from winchdyke.admin.signing import MAX_CLOCK_SKEW_SECONDS, Message, SignatureError, SignatureVerifier, sign
from winchdyke.cli.main import main
from winchdyke.config.model import Admin, Changes, Listen
from winchdyke.config_rollout.operations import OperationError

BODY = b'{"op": "standing"}'


def run_cli(*words: str, ends: int = 0) -> str:
    done = CliRunner().invoke(main, list(words))
    assert done.exit_code == ends, done.output
    return done.output


def signed_message(key: Key, body: bytes = BODY, **more: object) -> Message:
    message = Message("POST", "http://127.0.0.1:7000/v1/changes", {"host": "127.0.0.1:7000"})
    sign(message, body, key, **more)  # type: ignore[arg-type]
    return message


def make_verifier(tmp_path, *keys: Key) -> SignatureVerifier:
    write_keys(tmp_path / "keys", list(keys))
    started = time.time() - MAX_CLOCK_SKEW_SECONDS - 2
    clock = iter([started])
    return SignatureVerifier(KeyRing(tmp_path / "keys"), lambda: next(clock, time.time()))


def rejection_code(verifier: SignatureVerifier, message: Message, body: bytes = BODY) -> str:
    with pytest.raises(SignatureError) as error:
        verifier.verify(message, body)
    return error.value.code


def test_a_signed_request_is_accepted_once_and_an_altered_one_is_rejected(tmp_path):
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, key)
    message = signed_message(key)
    assert verifier.verify(message, BODY).who == "ann"
    assert rejection_code(verifier, message) == "replayed"
    for change in (
        {"method": "GET"},
        {"url": "http://127.0.0.1:7000/v1/other"},
        {"url": "http://127.0.0.1:7001/v1/changes"},  # another gateway
    ):
        assert rejection_code(verifier, dataclasses.replace(signed_message(key), **change)) == "signature"
    assert rejection_code(verifier, signed_message(key), b'{"op": "undo"}') == "signature"
    plain = signed_message(key)
    plain.headers = {"host": "127.0.0.1:7000"}
    assert rejection_code(verifier, plain) == "signature"
    other = dataclasses.replace(signed_message(key))
    other.headers["Signature"] = signed_message(key).headers["Signature"]
    assert rejection_code(verifier, other) == "signature"
    assert rejection_code(verifier, signed_message(create_key("ann", 0.0))) == "signature", (
        "a key that is not in the key file"
    )
    forged = Key(key.id, create_key("x", 0.0).secret, "ann")
    assert rejection_code(verifier, signed_message(forged)) == "signature"


@pytest.mark.parametrize("offset_seconds", [-120, 60])
def test_a_signature_created_outside_the_allowed_time_is_rejected(tmp_path, offset_seconds):
    key = create_key("ann", 0.0)
    assert (
        rejection_code(
            make_verifier(tmp_path, key), signed_message(key, created_unix_s=time.time() + offset_seconds)
        )
        == "signature"
    )


def test_a_request_that_may_have_been_signed_before_a_start_is_rejected_because_its_nonce_is_lost(tmp_path):
    key = create_key("ann", 0.0)
    write_keys(tmp_path / "keys", [key])
    message = signed_message(key)
    assert rejection_code(SignatureVerifier(KeyRing(tmp_path / "keys")), message) == "just-started"


def test_expired_and_withdrawn_keys_are_rejected_and_rotation_overlaps(tmp_path):
    now = time.time() * 1000
    old = Key("ann-1", create_key("ann", 0.0).secret, "ann", 0.0, now - 1)
    early = Key("ann-2", create_key("ann", 0.0).secret, "ann", now + 60_000)
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, old, early, key)
    assert (
        rejection_code(verifier, signed_message(old))
        == rejection_code(verifier, signed_message(early))
        == "signature"
    )
    file = str(tmp_path / "keys")
    fresh = run_cli("keys", "rotate", file, key.id, "--overlap", "1h", "--to", str(tmp_path / "mine")).strip()
    assert verifier.verify(signed_message(key), BODY).id == key.id
    (mine,) = read_keys(tmp_path / "mine")
    assert mine.id == fresh and verifier.verify(signed_message(mine), BODY).who == "ann"
    assert "withdrawn" in run_cli("keys", "withdraw", file, key.id)
    assert rejection_code(verifier, signed_message(key)) == "signature" and verifier.verify(
        signed_message(mine), BODY
    )
    listed = run_cli("keys", "list", file)
    assert fresh in listed and mine.secret not in listed and "not valid" in listed
    assert "has no key" in run_cli("keys", "withdraw", file, "nobody", ends=1)


def test_a_key_file_that_others_may_read_or_that_is_damaged_makes_all_keys_invalid(tmp_path):
    key = create_key("ann", 0.0)
    verifier, path = make_verifier(tmp_path, key), tmp_path / "keys"
    assert verifier.verify(signed_message(key), BODY)
    path.chmod(0o640)
    assert rejection_code(verifier, signed_message(key)) == "keys"
    with pytest.raises(KeyFileError, match="chmod 600"):
        read_keys(path)
    path.chmod(0o600)
    assert verifier.verify(signed_message(key), BODY)
    for text, said in [
        ("{}", "not a key file"),
        ('{"keys": [{"id": "a", "secret": "AAAA", "who": "a"}]}', "fewer than"),
        ('{"keys": [{"id": "a", "secret": "%", "who": "a"}]}', "not a key file"),
    ]:
        path.write_text(text)
        with pytest.raises(KeyFileError, match=said):
            read_keys(path)
        assert rejection_code(verifier, signed_message(key)) == "keys"
    path.unlink()
    assert rejection_code(verifier, signed_message(key)) == "keys"
    with pytest.raises(KeyFileError, match="keys new"):
        read_keys(path)


def test_when_the_nonce_limit_is_reached_requests_are_rejected_and_no_nonce_is_dropped(tmp_path, monkeypatch):
    from winchdyke.admin import signing

    monkeypatch.setattr(signing, "MAX_NONCES", 2)
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, key)
    first = signed_message(key)
    verifier.verify(first, BODY)
    verifier.verify(signed_message(key), BODY)
    assert rejection_code(verifier, signed_message(key)) == "busy"
    assert rejection_code(verifier, first) == "replayed"


# On sockets


def with_admin(folder, **more):
    admin = Admin(socket=str(folder / "s"), **more)
    return dataclasses.replace(settings(), changes=Changes(str(folder / "changes")), admin=admin)


def test_changes_over_the_unix_socket_and_over_tcp_until_the_key_is_withdrawn(tmp_path, monkeypatch):
    from winchdyke.admin import signing

    monkeypatch.setattr(
        signing, "MAX_CLOCK_SKEW_SECONDS", -2
    )  # the rejection just after a start has a test of its own

    @run_async
    async def run():
        file, mine = tmp_path / "keys", tmp_path / "mine"
        name = run_cli("keys", "new", str(file), "--who", "ann", "--to", str(mine)).strip()
        config = with_admin(tmp_path, listen=Listen("127.0.0.1", 0), keys=str(file))
        async with rig(config) as it:

            async def in_thread(call):
                return await anyio.to_thread.run_sync(call)

            unix = f"unix:{tmp_path / 's'}"
            host, port = it.gateway.admin_addresses[1]
            tcp = f"http://{host}:{port}"
            assert (tmp_path / "s").stat().st_mode & 0o777 == 0o600
            said = await in_thread(
                lambda: run_cli(
                    "changes", "set", unix, "plan", "school", "weight=3", "--who", "bob", "--why", "more"
                )
            )
            assert "version 2, from 1" in said
            assert "applied" in await in_thread(lambda: run_cli("changes", "apply", unix, "2"))
            said = await in_thread(
                lambda: run_cli(
                    "limit", "set", tcp, "basic", "100 units/s", "--key", str(mine), "--why", "less"
                )
            )
            assert "version 3, from 2" in said and "applied" in said
            assert it.gateway.service.snapshot.version == 3
            log = await in_thread(lambda: run_cli("changes", "log", tcp, "--key", str(mine), "--json"))
            entries = [json.loads(line) for line in log.splitlines()]
            proposed = {e["version"]: (e["who"], e["origin"]) for e in entries if e["what"] == "proposed"}
            assert proposed[2][0] == "bob" and "socket" in proposed[2][1]
            assert proposed[3][0] == "ann" and name in proposed[3][1], (
                "the actor is the key's owner, not a name that the caller gives"
            )
            assert "give --key" in await in_thread(lambda: run_cli("changes", "log", tcp, ends=1))
            session = AdminClient(tcp, mine)
            assert (await in_thread(lambda: session.execute(op="standing")))["serving"] == 3
            run_cli("keys", "withdraw", str(file), name)
            with pytest.raises(OperationError, match="not signed with a valid key"):
                await in_thread(lambda: session.execute(op="undo"))
            assert it.gateway.service.snapshot.version == 3

    run()


def test_invalid_requests_get_errors_and_idle_admin_connections_do_not_delay_clients(tmp_path):
    @run_async
    async def run():
        async with rig(with_admin(tmp_path)) as it:
            unix = str(tmp_path / "s")

            async def ask(text: bytes) -> bytes:
                got = b""
                async with await anyio.connect_unix(unix) as stream:
                    await stream.send(text)
                    with anyio.move_on_after(5), suppress(anyio.EndOfStream):
                        while True:
                            got += await stream.receive()
                            if b'"}\n' in got:
                                break
                return got

            def post(body: bytes) -> bytes:
                return b"POST /v1/changes HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s" % (
                    len(body),
                    body,
                )

            assert b"404" in await ask(b"GET /other HTTP/1.1\r\nhost: x\r\n\r\n")
            assert b"405" in await ask(b"PUT /v1/changes HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
            assert b"not-an-operation" in await ask(post(b"no json"))
            assert b"not-an-operation" in await ask(post(b'{"op": "standing", "colour": 2}'))
            assert b"Expected `int`" in await ask(post(b'{"op": "show", "version": "2"}'))
            assert b"there is no version 9" in await ask(post(b'{"op": "show", "version": 9}'))
            assert b"does not pass the check" in await ask(post(b'{"op": "propose", "text": "plan {"}'))
            long = json.dumps({"op": "undo", "why": "x" * 5000}).encode()
            assert b"too-long" in await ask(post(long))
            assert b"413" in await ask(
                b"POST /v1/changes HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n"
            )
            assert b"400" in await ask(b"nonsense\r\n\r\n")
            # Idle connections take all admin connection slots: clients are still served, and released slots are used again.
            idle = [await anyio.connect_unix(unix) for _ in range(40)]
            assert (await it.request("GET", "/school-1/k")).status == 404
            for stream in idle:
                await stream.aclose()
            assert b"serving" in await ask(
                b"GET /v1/changes HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            )

    run()


def test_a_listener_that_cannot_be_opened_raises_an_error_that_names_the_setting(tmp_path):
    from winchdyke.admin.listeners import AdminError, open_listeners

    async def said(settings: Admin) -> str:
        with pytest.raises(AdminError) as error:
            await open_listeners(settings, tmp_path)
        return str(error.value)

    async def run() -> None:
        tcp = Listen("127.0.0.1", 0)
        assert "keys is not" in await said(Admin("none", tcp))
        assert "keys new" in await said(Admin("none", tcp, str(tmp_path / "none")))
        (tmp_path / "file").write_text("")
        assert "is not a socket" in await said(Admin(str(tmp_path / "file")))
        assert "too long" in await said(Admin("/" + "x" * 200))
        path = str(tmp_path / "s")
        (first,) = await open_listeners(Admin(path), tmp_path)
        assert "another gateway" in await said(Admin(path))
        await first.aclose()
        (second,) = await open_listeners(
            Admin(path), tmp_path
        )  # a socket left by a process that has ended is replaced
        await second.aclose()
        assert await open_listeners(Admin("none"), tmp_path) == []

    anyio.run(run)


def test_a_key_file_is_replaced_atomically(tmp_path, monkeypatch):
    path = tmp_path / "keys"
    write_keys(path, [create_key("ann", 0.0)])
    before = path.read_bytes()

    def fail_with_full_disk(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(durable_files.os, "fsync", fail_with_full_disk)
    with pytest.raises(KeyFileError, match="No space"):
        write_keys(path, [])
    assert path.read_bytes() == before
