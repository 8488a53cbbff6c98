"""Fuzzes the input from other gateways: the unsealing of messages, and the protocol with validly sealed messages.

python fuzz/datagrams.py CORPUS_FOLDER [libFuzzer options]

Each message is accepted, or rejected with a reason. Any other exception is a fault, and so is a member table past its limit, a
datagram that is too long, or an accepted message that was sealed without the key. The first byte of an input selects an invalid
or a valid seal; messages are separated by two bytes 0xFF.
"""

from __future__ import annotations

import sys

from instrumentation import instrumented

with instrumented("winchdyke.membership"):
    from winchdyke.membership import datagrams, events
    from winchdyke.membership.errors import MessageRejectedError
    from winchdyke.membership.swim import SwimProtocol
    from winchdyke.membership.swim_config import SwimConfig

SECRET = b"a secret that no input knows...."
HEADER = datagrams.MAGIC + bytes((datagrams.VERSION, 0))
CONFIG = SwimConfig(max_members=50)


def fuzz_one_input(data: bytes) -> None:
    """Runs one input."""
    if not data:
        return
    if data[0] % 4 == 0:
        try:
            datagrams.unseal(data[1:], [SECRET])
        except MessageRejectedError as rejection:
            assert rejection.reason
        else:
            raise AssertionError("accepted without the key")
        return
    protocol = SwimProtocol(events.LocalMember("a", "127.0.0.1:1", "z", 0, 5 << 16, 3), CONFIG, 1, 0.0)
    now = 0.0
    for body in data[1:].split(b"\xff\xff")[:16]:
        now += 100.0 * (1 + data[0] % 7)
        try:
            message = datagrams.unseal(HEADER + datagrams.message_mac(SECRET, HEADER, body) + body, [SECRET])
        except MessageRejectedError:
            message = None
        received: list[events.MessageReceived | events.StateExchangeFinished] = []
        if message is not None:
            received.append(
                events.MessageReceived(
                    message,
                    "127.0.0.1:2",
                    is_state_exchange=message.kind == datagrams.MessageKind.STATE_EXCHANGE,
                )
            )
        for action in protocol.handle(now, received):
            if isinstance(action, events.SendDatagram):
                assert len(datagrams.seal(action.message, SECRET)) <= datagrams.MAX_DATAGRAM_BYTES
        protocol.view(now)
        assert len(protocol.table.members) <= CONFIG.max_members


def main() -> None:
    """Fuzzes until libFuzzer ends."""
    import atheris

    atheris.Setup(sys.argv, fuzz_one_input)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
