"""A gateway that speaks the platform's protocol: HTTP/1.1 with clients and stores, and a watch on discovery.

The scheduler makes all decisions; this package does the I/O on raw sockets. Its entry points are
``python -m winchdyke.platform``, ``service.PlatformGateway`` and ``configuration.read_environment``. It may
import ``interface``, ``settings``, ``http1`` and ``object_api.answers``, and of ``gateway`` the scheduler loop,
the outcomes, the logs and the errno list of ``pool``, and of ``scheduling`` which outcomes may still run. See ``docs/platform.md``.
"""
