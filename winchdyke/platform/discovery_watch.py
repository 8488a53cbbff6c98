"""One connection to discovery: a watch of changes, or one request for the full list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError
from winchdyke.platform import protocol
from winchdyke.platform.discovery_protocol import (
    ENDPOINTS_PATH,
    MAX_LIST_BYTES,
    EndpointListError,
    WatchParser,
    parse_endpoint_list,
)

if TYPE_CHECKING:
    from winchdyke.platform.discovery_client import DiscoveryClient

MAX_HEAD_BYTES = 16 * 1024
ENDED = "ended"  # the reason passed on when discovery ends a watch normally


class EndpointWatch(asyncio.Protocol):
    """Sends one request to discovery and passes its messages on until either side closes the connection.

    Attributes:
        requested_version: Changes after this version of the endpoint list were requested.
        started_at: When the watch was started, in seconds of the event loop's clock.
        last_received_at: When data was last received, on the same clock.
    """

    def __init__(self, client: DiscoveryClient, full_list: bool, requested_version: int) -> None:
        self._client = client
        self._full_list = full_list
        self._target = (
            ENDPOINTS_PATH if full_list else ENDPOINTS_PATH + b"?watch=1&after=%d" % requested_version
        )
        self.requested_version = requested_version
        self.transport: asyncio.Transport | None = None
        self.has_received_data = False
        self.closed = False
        self.started_at = client.loop.time()
        self.last_received_at = self.started_at
        self._codec = ClientCodec(MAX_HEAD_BYTES)
        self._head_received = False
        self._close_delimited = False
        self._list_buffer = bytearray()
        self._parser = WatchParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            transport.close()
            return
        headers = [(b"host", b"discovery")]
        self.transport.write(self._codec.request("GET", self._target, headers) + self._codec.end())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; invalid data closes the watch."""
        if self.closed:
            return
        self.last_received_at = self._client.loop.time()
        try:
            self._codec.feed(data)
            self._parse()
        except (ProtocolError, EndpointListError) as error:
            self._client.handle_unreadable(self, str(error))

    def _parse(self) -> None:
        if not self._head_received and not self._parse_head():
            return
        while not self.closed and not isinstance(piece := self._codec.body(), NeedData):
            self.has_received_data = True
            if isinstance(piece, EndOfBody):
                self._on_end()
                return
            if self._full_list:
                self._append(piece)
            else:
                self._parse_changes(piece)

    def _parse_head(self) -> bool:
        head = self._codec.head()
        if isinstance(head, NeedData):
            return False
        if head.status != 200:
            raise EndpointListError(f"discovery responded with status {head.status}")
        self._head_received = True
        self._close_delimited = not protocol.count_framing_headers(head)
        return True

    def _on_end(self) -> None:
        if self._full_list:
            self._client.handle_endpoint_list(self, parse_endpoint_list(bytes(self._list_buffer)))
        self._client.handle_watch_closed(self, ENDED)

    def _append(self, piece: bytes | bytearray) -> None:
        self._list_buffer += piece
        if len(self._list_buffer) > MAX_LIST_BYTES:
            raise EndpointListError(f"the list is larger than {MAX_LIST_BYTES} bytes")

    def _parse_changes(self, piece: bytes | bytearray) -> None:
        for listing in self._parser.feed(piece):
            if not self.closed:
                self._client.handle_endpoint_list(self, listing)
        self._client.handle_activity(self)

    def eof_received(self) -> None:
        """Finish a full list without a content length: an orderly close delimits it, a reset does not."""
        if self._full_list and self._close_delimited and not self.closed:
            self.data_received(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection to the client."""
        if not self.closed:
            self._client.handle_watch_closed(self, str(exc or "closed"))

    def abort(self) -> None:
        """Close immediately and report nothing more to the client."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
