"""``python -m winchdyke.platform``: one gateway on real sockets, configured by its environment. It exits with 0 after SIGTERM."""

from __future__ import annotations

import signal
import sys
from types import FrameType

_early_signals: list[int] = []  # received before the gateway was made


def _record_signal(number: int, _: FrameType | None) -> None:
    _early_signals.append(number)


# From the first moment: SIGHUP would end a process that is still importing.
for _number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_number, _record_signal)


def main() -> int:
    """Serve until SIGTERM; the exit status is 2 where the environment can't be used."""
    import asyncio

    from winchdyke.gateway import logs
    from winchdyke.platform import configuration, service

    logs.configure("json", access=False)
    try:
        asyncio.run(service.serve(_early_signals))
    except configuration.ConfigurationError as error:
        print(f"winchdyke: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"winchdyke: the gateway did not start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
