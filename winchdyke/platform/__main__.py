"""``python -m winchdyke.platform``: one real gateway, told by its environment. It ends with 0 after SIGTERM."""

from __future__ import annotations

import signal
import sys
from types import FrameType

_early: list[int] = []  # signals that came before the gateway stood


def _keep(number: int, _: FrameType | None) -> None:
    _early.append(number)


# From the first moment: SIGHUP would end a process that is still importing.
for _number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_number, _keep)


def main() -> int:
    """Serve until SIGTERM; 2 where the environment can't be used."""
    import asyncio
    import os

    from winchdyke.gateway import logs
    from winchdyke.platform import configuration
    from winchdyke.platform.service import Gateway

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        gateway = Gateway(configuration.read(os.environ), loop)
        loop.add_signal_handler(signal.SIGHUP, gateway.reload)
        loop.add_signal_handler(signal.SIGTERM, gateway.stop)
        for number in _early:
            (gateway.reload if number == signal.SIGHUP else gateway.stop)()
        await gateway.run()

    logs.configure("json", access=False)
    try:
        asyncio.run(serve())
    except configuration.ConfigurationError as error:
        print(f"winchdyke: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"winchdyke: the gateway did not start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
