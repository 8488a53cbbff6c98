"""Records of the write-back log: the key of a write is its own among all gateways and logs, and the same for every sending."""

from __future__ import annotations

import msgspec

from winchdyke.writeback.record import WriteBackRecord, new_write_key

FIELDS = ("v", "k", "submit", "", [(b"content-type", b"text/plain")], 1, 2.0, '"tag"', 1000.5, "", b"body")


def test_keys_of_writes_are_drawn_and_not_counted():
    # Guards against counters that start at 1 in each log: two gateways' writes had the keys log-1-1, log-1-2, ...
    assert len({new_write_key() for _ in range(10_000)}) == 10_000


def test_record_keeps_its_key_whenever_it_is_read_and_the_clients_key_goes_before():
    # Guards against a key that another process, or a log in a copied folder, makes anew for the same write.
    record = WriteBackRecord(*FIELDS, write_key=new_write_key())
    data = msgspec.msgpack.encode(record)
    again = msgspec.msgpack.decode(data, type=WriteBackRecord)
    assert again.idempotency_key == record.idempotency_key == record.write_key
    record.repeat_key = "of-the-client"
    assert record.idempotency_key == "of-the-client"


def test_record_of_an_earlier_release_is_read_and_has_a_key_of_its_own():
    # Guards against an upgrade that can't read acknowledged writes, or sends them under keys that others have.
    def read(*fields):
        return msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=WriteBackRecord)

    earlier = read(*FIELDS)
    assert (earlier.body, earlier.write_key) == (b"body", "")
    assert earlier.idempotency_key == read(*FIELDS).idempotency_key
    others = [read(*FIELDS[:8], 1000.6, *FIELDS[9:]), read("w", *FIELDS[1:]), read("v", "l", *FIELDS[2:])]
    assert len({each.idempotency_key for each in [earlier, *others]}) == 4
