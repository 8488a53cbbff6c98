"""Emulators of the peers of a gateway: stores, list service, DNS server, clients, network links.

They use the loopback interface only, share no code with the gateway, and record what they observe on their
own sockets, timed by the monotonic clock.
"""
