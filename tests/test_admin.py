"""The admin API: who is let in, what is refused, and that a request counts once."""

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


def ran(*words: str, ends: int = 0) -> str:
    done = CliRunner().invoke(main, list(words))
    assert done.exit_code == ends, done.output
    return done.output


def signed(key: Key, body: bytes = BODY, **more: object) -> Message:
    message = Message("POST", "http://127.0.0.1:7000/v1/changes", {"host": "127.0.0.1:7000"})
    sign(message, body, key, **more)  # type: ignore[arg-type]
    return message


def make_verifier(tmp_path, *keys: Key) -> SignatureVerifier:
    write_keys(tmp_path / "keys", list(keys))
    started = time.time() - MAX_CLOCK_SKEW_SECONDS - 2
    clock = iter([started])
    return SignatureVerifier(KeyRing(tmp_path / "keys"), lambda: next(clock, time.time()))


def refused(verifier: SignatureVerifier, message: Message, body: bytes = BODY) -> str:
    with pytest.raises(SignatureError) as error:
        verifier.verify(message, body)
    return error.value.code


def test_what_is_signed_is_let_in_once_and_what_was_changed_on_its_way_never(tmp_path):
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, key)
    message = signed(key)
    assert verifier.verify(message, BODY).who == "ann"
    assert refused(verifier, message) == "replayed"
    for change in (
        {"method": "GET"},
        {"url": "http://127.0.0.1:7000/v1/other"},
        {"url": "http://127.0.0.1:7001/v1/changes"},  # another gateway
    ):
        assert refused(verifier, dataclasses.replace(signed(key), **change)) == "signature"
    assert refused(verifier, signed(key), b'{"op": "undo"}') == "signature"
    plain = signed(key)
    plain.headers = {"host": "127.0.0.1:7000"}
    assert refused(verifier, plain) == "signature"
    other = dataclasses.replace(signed(key))
    other.headers["Signature"] = signed(key).headers["Signature"]
    assert refused(verifier, other) == "signature"
    assert refused(verifier, signed(create_key("ann", 0.0))) == "signature", "a key that is not in the file"
    forged = Key(key.id, create_key("x", 0.0).secret, "ann")
    assert refused(verifier, signed(forged)) == "signature"


@pytest.mark.parametrize("off", [-120, 60])
def test_a_signature_from_another_time_is_refused(tmp_path, off):
    key = create_key("ann", 0.0)
    assert refused(make_verifier(tmp_path, key), signed(key, created_unix_s=time.time() + off)) == "signature"


def test_what_may_have_been_signed_before_a_start_is_refused_for_its_nonce_is_gone(tmp_path):
    key = create_key("ann", 0.0)
    write_keys(tmp_path / "keys", [key])
    message = signed(key)
    assert refused(SignatureVerifier(KeyRing(tmp_path / "keys")), message) == "just-started"


def test_keys_that_are_over_or_withdrawn_are_refused_and_rotation_overlaps(tmp_path):
    now = time.time() * 1000
    old = Key("ann-1", create_key("ann", 0.0).secret, "ann", 0.0, now - 1)
    early = Key("ann-2", create_key("ann", 0.0).secret, "ann", now + 60_000)
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, old, early, key)
    assert refused(verifier, signed(old)) == refused(verifier, signed(early)) == "signature"
    file = str(tmp_path / "keys")
    fresh = ran("keys", "rotate", file, key.id, "--overlap", "1h", "--to", str(tmp_path / "mine")).strip()
    assert verifier.verify(signed(key), BODY).id == key.id
    (mine,) = read_keys(tmp_path / "mine")
    assert mine.id == fresh and verifier.verify(signed(mine), BODY).who == "ann"
    assert "withdrawn" in ran("keys", "withdraw", file, key.id)
    assert refused(verifier, signed(key)) == "signature" and verifier.verify(signed(mine), BODY)
    listed = ran("keys", "list", file)
    assert fresh in listed and mine.secret not in listed and "does not count" in listed
    assert "has no key" in ran("keys", "withdraw", file, "nobody", ends=1)


def test_a_file_of_keys_that_others_may_read_or_that_is_damaged_lets_nobody_in(tmp_path):
    key = create_key("ann", 0.0)
    verifier, path = make_verifier(tmp_path, key), tmp_path / "keys"
    assert verifier.verify(signed(key), BODY)
    path.chmod(0o640)
    assert refused(verifier, signed(key)) == "keys"
    with pytest.raises(KeyFileError, match="chmod 600"):
        read_keys(path)
    path.chmod(0o600)
    assert verifier.verify(signed(key), BODY)
    for text, said in [
        ("{}", "no file of keys"),
        ('{"keys": [{"id": "a", "secret": "AAAA", "who": "a"}]}', "fewer than"),
        ('{"keys": [{"id": "a", "secret": "%", "who": "a"}]}', "no file of keys"),
    ]:
        path.write_text(text)
        with pytest.raises(KeyFileError, match=said):
            read_keys(path)
        assert refused(verifier, signed(key)) == "keys"
    path.unlink()
    assert refused(verifier, signed(key)) == "keys"
    with pytest.raises(KeyFileError, match="keys new"):
        read_keys(path)


def test_a_full_store_of_nonces_refuses_and_forgets_none(tmp_path, monkeypatch):
    from winchdyke.admin import signing

    monkeypatch.setattr(signing, "MAX_NONCES", 2)
    key = create_key("ann", 0.0)
    verifier = make_verifier(tmp_path, key)
    first = signed(key)
    verifier.verify(first, BODY)
    verifier.verify(signed(key), BODY)
    assert refused(verifier, signed(key)) == "busy"
    assert refused(verifier, first) == "replayed"


# On sockets


def with_admin(folder, **more):
    admin = Admin(socket=str(folder / "s"), **more)
    return dataclasses.replace(settings(), changes=Changes(str(folder / "changes")), admin=admin)


def test_a_change_over_the_unix_socket_and_over_tcp_with_a_key_that_is_withdrawn_in_between(
    tmp_path, monkeypatch
):
    from winchdyke.admin import signing

    monkeypatch.setattr(
        signing, "MAX_CLOCK_SKEW_SECONDS", -2
    )  # the first seconds after a start are another test's

    @run_async
    async def run():
        file, mine = tmp_path / "keys", tmp_path / "mine"
        name = ran("keys", "new", str(file), "--who", "ann", "--to", str(mine)).strip()
        config = with_admin(tmp_path, listen=Listen("127.0.0.1", 0), keys=str(file))
        async with rig(config) as it:

            async def there(call):
                return await anyio.to_thread.run_sync(call)

            unix = f"unix:{tmp_path / 's'}"
            host, port = it.gateway.admin_addresses[1]
            tcp = f"http://{host}:{port}"
            assert (tmp_path / "s").stat().st_mode & 0o777 == 0o600
            said = await there(
                lambda: ran(
                    "changes", "set", unix, "plan", "school", "weight=3", "--who", "bob", "--why", "more"
                )
            )
            assert "version 2, from 1" in said
            assert "applied" in await there(lambda: ran("changes", "apply", unix, "2"))
            said = await there(
                lambda: ran("limit", "set", tcp, "basic", "100 units/s", "--key", str(mine), "--why", "less")
            )
            assert "version 3, from 2" in said and "applied" in said
            assert it.gateway.service.snapshot.version == 3
            log = await there(lambda: ran("changes", "log", tcp, "--key", str(mine), "--json"))
            entries = [json.loads(line) for line in log.splitlines()]
            proposed = {e["version"]: (e["who"], e["origin"]) for e in entries if e["what"] == "proposed"}
            assert proposed[2][0] == "bob" and "socket" in proposed[2][1]
            assert proposed[3][0] == "ann" and name in proposed[3][1], (
                "who is told by the key, not by the caller"
            )
            assert "give --key" in await there(lambda: ran("changes", "log", tcp, ends=1))
            session = AdminClient(tcp, mine)
            assert (await there(lambda: session.execute(op="standing")))["serving"] == 3
            ran("keys", "withdraw", str(file), name)
            with pytest.raises(OperationError, match="not signed with a key that counts"):
                await there(lambda: session.execute(op="undo"))
            assert it.gateway.service.snapshot.version == 3

    run()


def test_what_is_no_request_of_the_admin_api_is_told_so_and_clients_are_not_held_up(tmp_path):
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
            # All places taken by those who ask and say nothing: clients are served, and a place that is given back is used.
            idle = [await anyio.connect_unix(unix) for _ in range(40)]
            assert (await it.ask("GET", "/school-1/k")).status == 404
            for stream in idle:
                await stream.aclose()
            assert b"serving" in await ask(
                b"GET /v1/changes HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            )

    run()


def test_a_listener_that_cant_be_had_is_an_error_that_names_the_setting(tmp_path):
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
        assert "is no socket" in await said(Admin(str(tmp_path / "file")))
        assert "too long" in await said(Admin("/" + "x" * 200))
        path = str(tmp_path / "s")
        (first,) = await open_listeners(Admin(path), tmp_path)
        assert "another gateway" in await said(Admin(path))
        await first.aclose()
        (second,) = await open_listeners(
            Admin(path), tmp_path
        )  # what a process that is gone has left is no hindrance
        await second.aclose()
        assert await open_listeners(Admin("none"), tmp_path) == []

    anyio.run(run)


def test_a_file_of_keys_is_never_seen_half_written(tmp_path, monkeypatch):
    path = tmp_path / "keys"
    write_keys(path, [create_key("ann", 0.0)])
    before = path.read_bytes()

    def full(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(durable_files.os, "fsync", full)
    with pytest.raises(KeyFileError, match="No space"):
        write_keys(path, [])
    assert path.read_bytes() == before
