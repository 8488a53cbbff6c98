"""``python -m winchdyke.platform``: runs one gateway, configured by environment variables, until SIGTERM."""

from __future__ import annotations

import signal
import sys
from types import FrameType

_early_signals: list[int] = []  # received before the gateway could handle signals


def _record_signal(number: int, _: FrameType | None) -> None:
    _early_signals.append(number)


# Installed before the slow imports in main(): the default action of SIGHUP would end the process.
for _number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_number, _record_signal)


def main() -> int:
    """Serve until SIGTERM and return the exit status.

    The status is 0 after a graceful shutdown, 2 if the configuration is invalid or the gateway can't start.
    """
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
