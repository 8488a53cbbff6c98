"""Endpoint discovery: finds out which stores exist, where, and in which state, and keeps that view current.

Endpoint lists come from a list service, a file or DNS SRV records; the view combines them with what the stores report of
themselves, survives restarts in a cache on the disk, and is published to the scheduler as endpoint lists.

Public names: :class:`~winchdyke.discovery.follower.EndpointFollower` (runs everything),
:class:`~winchdyke.discovery.endpoint_view.EndpointView` (decides, without I/O, with
:mod:`~winchdyke.discovery.endpoint_transitions`), the sources in :mod:`~winchdyke.discovery.list_service`,
:mod:`~winchdyke.discovery.file_source` and :mod:`~winchdyke.discovery.srv_source`,
:mod:`~winchdyke.discovery.cache` (the files), :class:`~winchdyke.discovery.seeds.GatewaySeeds`, and
:class:`~winchdyke.discovery.errors.DiscoveryError`.

May import :mod:`winchdyke.interface`, :mod:`winchdyke.config`, :mod:`winchdyke.http1` and
:mod:`winchdyke.durable_files`; nothing of the gateway.
"""
