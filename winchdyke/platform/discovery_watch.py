"""One connection to discovery: a watch of changes, or one request for the full list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError
from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER, receive_units
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
LINE_UNITS = 2  # work of an object or an empty line, in units of the turn budget
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
        self._client.turn_budget.spend(receive_units(len(data)))
        self._codec.feed(data)
        if not self._client.turn_budget.is_deferred(self):
            self._parse_step()

    def _parse_step(self) -> None:
        """Parse received bytes with the work that one peer may use, and the rest in a later turn of the event loop."""
        if self.closed:
            return
        budget = self._client.turn_budget
        units_before = self._codec.work_units
        try:
            has_more_work = self._parse(UNITS_PER_PEER)
        except (ProtocolError, EndpointListError) as error:
            self._client.handle_unreadable(self, str(error))
            return
        finally:
            budget.spend(self._codec.work_units - units_before)
        if self.closed or self.transport is None:
            return
        if has_more_work:
            self.transport.pause_reading()
            budget.defer(self, self._parse_step)
        else:
            self.transport.resume_reading()

    def _parse(self, max_work_units: int) -> bool:
        """Parse received bytes; return whether the work of this step was done before all of them were parsed."""
        if not self._head_received and not self._parse_head():
            return False
        last_work_units = self._codec.work_units + max_work_units
        while not self.closed and not isinstance(piece := self._codec.body(), NeedData):
            self.has_received_data = True
            if isinstance(piece, EndOfBody):
                self._on_end()
                return False
            if self._full_list:
                self._append(piece)
            else:
                self._parse_changes(piece)
            if self._codec.work_units >= last_work_units:
                return True
        return False

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
        lines = piece.count(b"\n")
        self._client.turn_budget.spend(lines * LINE_UNITS)
        if lines:
            # A watch has no end: each object or empty line is a message of its own.
            self._codec.restart_framing_count()
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
        self._client.turn_budget.cancel(self)
        if self.transport is not None:
            self.transport.abort()
