"""Endpoint discovery: finds the stores, their addresses and their states, and keeps this view up to date.

Endpoint lists come from a list service, a file or DNS SRV records. The endpoint view combines them with the stores' own
reports, is cached on disk across restarts, and is published to the scheduler as endpoint lists.

Public names: :class:`~winchdyke.discovery.follower.EndpointFollower` (runs everything),
:class:`~winchdyke.discovery.endpoint_view.EndpointView` (the decisions, without I/O, with
:mod:`~winchdyke.discovery.endpoint_transitions`), the sources in :mod:`~winchdyke.discovery.list_service`,
:mod:`~winchdyke.discovery.file_source` and :mod:`~winchdyke.discovery.srv_source`,
:mod:`~winchdyke.discovery.cache` (the cache files), :class:`~winchdyke.discovery.seeds.GatewaySeeds`, and
:class:`~winchdyke.discovery.errors.DiscoveryError`.

May import :mod:`winchdyke.interface`, :mod:`winchdyke.config`, :mod:`winchdyke.http1` and
:mod:`winchdyke.durable_files`; nothing of the gateway.
"""
