"""The errors of endpoint discovery."""


class DiscoveryError(Exception):
    """Endpoint data can't be used. The text states the problem, its place and the remedy."""


class EndpointListError(DiscoveryError):
    """A source's answer is not a valid endpoint list."""


class EndpointCacheError(DiscoveryError):
    """A file of the endpoint cache can't be used."""
