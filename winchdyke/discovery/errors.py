"""The errors of endpoint discovery."""


class DiscoveryError(Exception):
    """Endpoint data that can't be used; the text says what is wrong, where, and what to do."""


class EndpointListError(DiscoveryError):
    """A source's answer that is no valid endpoint list."""


class EndpointCacheError(DiscoveryError):
    """A file of the endpoint cache that can't be used."""
