"""A model of gateways, stores and clients in virtual time, with the real module: to try designs at sizes sockets don't reach."""
