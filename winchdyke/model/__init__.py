"""Simulations of gateways, stores and clients in virtual time, with the real scheduler and protocol; and a model checker.

They test designs at sizes that real sockets on one host don't reach.
"""
