"""Stand-ins for what a gateway meets: stores, a list service, clients. Loopback only.

They share no code with the gateway, and write down what they saw on their own sockets with the monotonic clock.
"""
