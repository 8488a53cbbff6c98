"""A gateway that speaks the platform's protocol: HTTP/1.1 with clients and stores on raw sockets, and a watch of discovery.

The scheduler decides; this package carries out. Its public names are ``python -m winchdyke.platform``, ``service.PlatformGateway`` and
``configuration.read_environment``. It may import ``interface``, ``settings``, ``http1``, ``object_api.answers``, and of ``gateway``
the scheduler loop, the outcomes and the logs. See ``docs/platform.md``.
"""
