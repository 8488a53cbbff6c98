"""The admin API: operations on changes and the state of the fleet, over a separate listener.

Callers are authenticated by the operating system on the unix socket, and by the signature of their key over TCP.

Public names:
    ``server.AdminServer``, ``listeners.open_listeners``: the gateway's side.
    ``client.AdminClient``: the caller's side.
    ``keys``, ``signing``: files of shared keys, and requests signed with them.

The package may import ``winchdyke.config``, ``winchdyke.config_rollout``, ``winchdyke.durable_files`` and ``winchdyke.http1``.
"""
