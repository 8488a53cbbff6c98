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

SECRET, OTHER_SECRET = b"s" * 32, b"t" * 32
RECORD = MemberRecord("g1", "10.0.0.1:7", "hall", 1, 5, 0, int(MemberState.ALIVE), "g1")
MESSAGE = SwimMessage("g0", 7, 1, "g1", int(MessageKind.PING), 9, "g2", 3, [RECORD])
MAX_INTEGER = datagrams.MAX_INTEGER


def rejection_reason(data: bytes, secrets: list[bytes] | None = None) -> str:
    """Returns the reason for which a message is rejected; "" if it is accepted."""
    try:
        datagrams.unseal(data, [SECRET] if secrets is None else secrets)
    except MessageRejectedError as rejection:
        return rejection.reason
    return ""


def sealed_fields(fields: list[object]) -> bytes:
    """Returns any fields with a valid seal, as a faulty member that has the key may send them."""
    header, body = datagrams.MAGIC + bytes((datagrams.VERSION, 0)), msgspec.msgpack.encode(fields)
    return header + datagrams.message_mac(SECRET, header, body) + body


def test_a_sealed_message_is_unsealed_unchanged():
    assert datagrams.unseal(datagrams.seal(MESSAGE, SECRET), [OTHER_SECRET, SECRET]) == MESSAGE


@pytest.mark.parametrize("index", range(len(datagrams.seal(MESSAGE, SECRET))))
def test_one_changed_byte_anywhere_is_rejected(index):
    data = bytearray(datagrams.seal(MESSAGE, SECRET))
    data[index] ^= 1
    assert rejection_reason(bytes(data)) in ("not-ours", "version", "seal")


def test_two_keys_are_valid_during_a_rotation_and_a_withdrawn_one_is_not():
    old, new = datagrams.seal(MESSAGE, SECRET), datagrams.seal(MESSAGE, OTHER_SECRET)
    assert (
        rejection_reason(old, [OTHER_SECRET, SECRET]) == rejection_reason(new, [OTHER_SECRET, SECRET]) == ""
    )
    assert rejection_reason(old, [OTHER_SECRET]) == "seal"


MESSAGE_FIELDS = [
    (0, ["x" * 64], ["", "x" * 65, 5, None]),
    (1, [0, MAX_INTEGER], [-1, MAX_INTEGER + 1, 1.5, "7"]),
    (2, [0, MAX_INTEGER], [-1, MAX_INTEGER + 1]),
    (3, ["", "x" * 64], ["x" * 65, 5]),
    (4, [1, 5], [-1, 256, "1"]),
    (5, [0, MAX_INTEGER], [-1, MAX_INTEGER + 1]),
    (6, ["", "x" * 64], ["x" * 65]),
    (7, [-1, MAX_INTEGER], [-2, MAX_INTEGER + 1]),
    (8, [[]], [5, [5], None]),
]
RECORD_FIELDS = [
    (0, ["x" * 64], ["", "x" * 65]),
    (1, ["", "x" * 64], ["x" * 65, 5]),
    (2, ["", "x" * 64], ["x" * 65]),
    (3, [0, 65535], [-1, 65536]),
    (4, [0, MAX_INTEGER], [-1, MAX_INTEGER + 1]),
    (5, [0, MAX_INTEGER], [-1, MAX_INTEGER + 1]),
    (6, [0, 3], [-1, 4]),
    (7, ["", "x" * 64], ["x" * 65]),
]


@pytest.mark.parametrize("index, valid, invalid", MESSAGE_FIELDS)
def test_each_field_is_accepted_at_its_bound_and_rejected_past_it(index, valid, invalid):
    for value, expected in [*((value, "") for value in valid), *((value, "fields") for value in invalid)]:
        fields = msgspec.to_builtins(MESSAGE)
        fields[index] = value
        assert rejection_reason(sealed_fields(fields)) == expected, value


@pytest.mark.parametrize("index, valid, invalid", RECORD_FIELDS)
def test_each_field_of_a_record_is_accepted_at_its_bound_and_rejected_past_it(index, valid, invalid):
    for value, expected in [*((value, "") for value in valid), *((value, "fields") for value in invalid)]:
        fields, entry = msgspec.to_builtins(MESSAGE), msgspec.to_builtins(RECORD)
        entry[index] = value
        fields[8] = [entry]
        assert rejection_reason(sealed_fields(fields)) == expected, value


def test_bounds_of_texts_are_in_bytes():
    entry = msgspec.to_builtins(RECORD)
    for index in (0, 1, 2, 7):
        for text, expected in (("\u20ac" * 21, ""), ("\u20ac" * 22, "fields")):
            fields = msgspec.to_builtins(MESSAGE)
            fields[8] = [[text if n == index else value for n, value in enumerate(entry)]]
            assert rejection_reason(sealed_fields(fields)) == expected


def test_messages_of_a_later_and_an_earlier_version():
    """A later version may append fields, which are skipped, and add kinds, which are rejected."""
    fields = msgspec.to_builtins(MESSAGE)
    fields[8] = [[*msgspec.to_builtins(RECORD), "more", 5]]
    assert datagrams.unseal(sealed_fields([*fields, {"new": 1}]), [SECRET]) == MESSAGE
    fields[4] = 77
    assert rejection_reason(sealed_fields(fields)) == "kind"
    # An earlier version sends fewer fields.
    assert rejection_reason(sealed_fields(msgspec.to_builtins(MESSAGE)[:5])) == ""
    data = bytearray(datagrams.seal(MESSAGE, SECRET))
    data[2] = datagrams.VERSION + 1
    assert rejection_reason(bytes(data)) == "version"


def test_a_message_that_is_too_long_is_rejected_unparsed():
    assert rejection_reason(b"W" * (datagrams.MAX_DATAGRAM_BYTES + 1)) == "too-long"
    assert rejection_reason(b"WF") == rejection_reason(b"") == "not-ours"


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_and_raise_no_other_error(data):
    assert rejection_reason(data)
    assert rejection_reason(datagrams.MAGIC + bytes((datagrams.VERSION, 0)) + data)
    header = datagrams.MAGIC + bytes((datagrams.VERSION, 0))
    rejection_reason(header + datagrams.message_mac(SECRET, header, data) + data)


@given(st.lists(st.integers(0, 600), max_size=200))
def test_each_message_counter_is_accepted_once_in_any_order(counters):
    window, accepted = ReplayWindow(1), set()
    for counter in counters:
        if window.accept(counter):
            assert counter not in accepted
            accepted.add(counter)
        else:
            assert counter in accepted or counter <= window.highest - ReplayWindow.SIZE
    assert window.accept(MAX_INTEGER) and not window.accept(MAX_INTEGER) and not window.accept(0)
