"""The wire format between gateways: every field at and past its bound, authentication, replays, mixed versions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from winchdyke.membership import datagrams
from winchdyke.membership.datagrams import (
    MemberRecord,
    MemberState,
    MessageKind,
    ReplayWindow,
    SwimMessage,
)
from winchdyke.membership.errors import MessageRejectedError

SECRET, OTHER = b"s" * 32, b"t" * 32
RECORD = MemberRecord("g1", "10.0.0.1:7", "hall", 1, 5, 0, int(MemberState.ALIVE), "g1")
MESSAGE = SwimMessage("g0", 7, 1, "g1", int(MessageKind.PING), 9, "g2", 3, [RECORD])
TOP = datagrams.MAX_INTEGER


def reason(data: bytes, secrets: list[bytes] | None = None) -> str:
    """Why it is dropped; "" where it is taken."""
    try:
        datagrams.unseal(data, [SECRET] if secrets is None else secrets)
    except MessageRejectedError as dropped:
        return dropped.reason
    return ""


def sealed(fields: list[object]) -> bytes:
    """Any fields with a good seal: what a faulty member that has the key may send."""
    head, body = datagrams.MAGIC + bytes((datagrams.VERSION, 0)), msgspec.msgpack.encode(fields)
    return head + datagrams.message_mac(SECRET, head, body) + body


def test_a_sealed_message_is_unsealed_unchanged():
    assert datagrams.unseal(datagrams.seal(MESSAGE, SECRET), [OTHER, SECRET]) == MESSAGE


@pytest.mark.parametrize("at", range(len(datagrams.seal(MESSAGE, SECRET))))
def test_one_changed_byte_anywhere_is_dropped(at):
    data = bytearray(datagrams.seal(MESSAGE, SECRET))
    data[at] ^= 1
    assert reason(bytes(data)) in ("not-ours", "version", "seal")


def test_two_keys_are_valid_during_a_rotation_and_a_withdrawn_one_is_not():
    old, new = datagrams.seal(MESSAGE, SECRET), datagrams.seal(MESSAGE, OTHER)
    assert reason(old, [OTHER, SECRET]) == reason(new, [OTHER, SECRET]) == ""
    assert reason(old, [OTHER]) == "seal"


FIELDS = [
    (0, ["x" * 64], ["", "x" * 65, 5, None]),
    (1, [0, TOP], [-1, TOP + 1, 1.5, "7"]),
    (2, [0, TOP], [-1, TOP + 1]),
    (3, ["", "x" * 64], ["x" * 65, 5]),
    (4, [1, 5], [-1, 256, "1"]),
    (5, [0, TOP], [-1, TOP + 1]),
    (6, ["", "x" * 64], ["x" * 65]),
    (7, [-1, TOP], [-2, TOP + 1]),
    (8, [[]], [5, [5], None]),
]
INNER = [
    (0, ["x" * 64], ["", "x" * 65]),
    (1, ["", "x" * 64], ["x" * 65, 5]),
    (2, ["", "x" * 64], ["x" * 65]),
    (3, [0, 65535], [-1, 65536]),
    (4, [0, TOP], [-1, TOP + 1]),
    (5, [0, TOP], [-1, TOP + 1]),
    (6, [0, 3], [-1, 4]),
    (7, ["", "x" * 64], ["x" * 65]),
]


@pytest.mark.parametrize("at, good, bad", FIELDS)
def test_each_field_is_accepted_at_its_bound_and_rejected_past_it(at, good, bad):
    for value, want in [*((value, "") for value in good), *((value, "fields") for value in bad)]:
        fields = msgspec.to_builtins(MESSAGE)
        fields[at] = value
        assert reason(sealed(fields)) == want, value


@pytest.mark.parametrize("at, good, bad", INNER)
def test_each_field_of_a_record_is_accepted_at_its_bound_and_rejected_past_it(at, good, bad):
    for value, want in [*((value, "") for value in good), *((value, "fields") for value in bad)]:
        fields, entry = msgspec.to_builtins(MESSAGE), msgspec.to_builtins(RECORD)
        entry[at] = value
        fields[8] = [entry]
        assert reason(sealed(fields)) == want, value


def test_bounds_of_texts_are_in_bytes():
    entry = msgspec.to_builtins(RECORD)
    for at in (0, 1, 2, 7):
        for text, want in (("\u20ac" * 21, ""), ("\u20ac" * 22, "fields")):
            fields = msgspec.to_builtins(MESSAGE)
            fields[8] = [[text if n == at else value for n, value in enumerate(entry)]]
            assert reason(sealed(fields)) == want


def test_two_versions_side_by_side():
    """A later version adds fields at ends, and kinds: the first are passed over, the second dropped and counted."""
    fields = msgspec.to_builtins(MESSAGE)
    fields[8] = [[*msgspec.to_builtins(RECORD), "more", 5]]
    assert datagrams.unseal(sealed([*fields, {"new": 1}]), [SECRET]) == MESSAGE
    fields[4] = 77
    assert reason(sealed(fields)) == "kind"
    assert reason(sealed(msgspec.to_builtins(MESSAGE)[:5])) == ""  # an earlier one that had fewer
    data = bytearray(datagrams.seal(MESSAGE, SECRET))
    data[2] = datagrams.VERSION + 1
    assert reason(bytes(data)) == "version"


def test_a_message_that_is_too_long_is_rejected_unparsed():
    assert reason(b"W" * (datagrams.MAX_DATAGRAM_BYTES + 1)) == "too-long"
    assert reason(b"WF") == reason(b"") == "not-ours"


@given(st.binary(max_size=200))
def test_noise_is_rejected_and_nothing_else_is_raised(noise):
    assert reason(noise)
    assert reason(datagrams.MAGIC + bytes((datagrams.VERSION, 0)) + noise)
    head = datagrams.MAGIC + bytes((datagrams.VERSION, 0))
    reason(head + datagrams.message_mac(SECRET, head, noise) + noise)


@given(st.lists(st.integers(0, 600), max_size=200))
def test_each_message_counter_is_accepted_once_in_any_order(counts):
    window, taken = ReplayWindow(1), set()
    for count in counts:
        if window.accept(count):
            assert count not in taken
            taken.add(count)
        else:
            assert count in taken or count <= window.highest - ReplayWindow.SIZE
    assert window.accept(TOP) and not window.accept(TOP) and not window.accept(0)
