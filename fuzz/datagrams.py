"""Fuzzing what comes in from other gateways: the opener of sealed messages, and the machine behind it, with a good seal.

python fuzz/datagrams.py CORPUS_FOLDER [libFuzzer options]

Whatever comes is dropped with a reason or taken; any exception is a fault, and so is a book past its bound, an answer that is too
long, or a message without the key that is taken. The first byte says whether the seal is good; each further message is cut at 0xFF.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports(include=["winchdyke.membership"]):
    from winchdyke.membership import datagrams, events
    from winchdyke.membership.errors import MessageRejectedError
    from winchdyke.membership.swim import SwimProtocol
    from winchdyke.membership.swim_config import SwimConfig

SECRET = b"a secret that no input knows...."
HEAD = datagrams.MAGIC + bytes((datagrams.VERSION, 0))
CONFIG = SwimConfig(max_members=50)


def one(data: bytes) -> None:
    """One input."""
    if not data:
        return
    if data[0] % 4 == 0:
        try:
            datagrams.unseal(data[1:], [SECRET])
        except MessageRejectedError as dropped:
            assert dropped.reason
        else:
            raise AssertionError("taken without the key")
        return
    machine = SwimProtocol(events.LocalMember("a", "127.0.0.1:1", "z", 0, 5 << 16, 3), CONFIG, 1, 0.0)
    now = 0.0
    for body in data[1:].split(b"\xff\xff")[:16]:
        now += 100.0 * (1 + data[0] % 7)
        try:
            message = datagrams.unseal(HEAD + datagrams.message_mac(SECRET, HEAD, body) + body, [SECRET])
        except MessageRejectedError:
            message = None
        happened: list[events.MessageReceived | events.StateExchangeFinished] = []
        if message is not None:
            happened.append(
                events.MessageReceived(
                    message,
                    "127.0.0.1:2",
                    is_state_exchange=message.kind == datagrams.MessageKind.STATE_EXCHANGE,
                )
            )
        for action in machine.handle(now, happened):
            if isinstance(action, events.SendDatagram):
                assert len(datagrams.seal(action.message, SECRET)) <= datagrams.MAX_DATAGRAM_BYTES
        machine.view(now)
        assert len(machine.table.members) <= CONFIG.max_members


def main() -> None:
    """Fuzz until told otherwise."""
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
