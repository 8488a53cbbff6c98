"""Membership of the running gateways: SWIM with Lifeguard's extensions. Off unless the setting ``fleet, listen`` is given.

The safety of other packages does not depend on a membership view.

Public names: :class:`~winchdyke.membership.agent.MembershipAgent` (runs the protocol on sockets),
:class:`~winchdyke.membership.view.MembershipView` (a snapshot for readers),
:class:`~winchdyke.membership.errors.MembershipError`, and for simulations
:class:`~winchdyke.membership.swim.SwimProtocol` with its events.

May import ``config``, ``admin.keys`` and ``durable_files``; only ``agent``, ``transport``, ``shared_keys`` and
``member_cache`` do I/O.
"""
