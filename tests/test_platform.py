"""The platform's protocol without sockets: requests, responses, endpoint lists and configuration.

Each field that is validated has at least one invalid case.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from conftest import SETTINGS

from winchdyke import interface as api
from winchdyke.http1 import ClientCodec, NeedData, ProtocolError, ServerCodec
from winchdyke.interface import AttemptOutcome
from winchdyke.platform import configuration, discovery_protocol, protocol
from winchdyke.platform.client_idle_limit import (
    IDLE_PER_BUSY_RATIO,
    MIN_IDLE_CONNECTIONS,
    PEAK_HALF_LIFE_MS,
    IdleConnectionLimit,
)
from winchdyke.platform.graceful_shutdown import shutdown_schedule

SETTINGS_JSON = {
    "balancers": 2,
    "index": 0,
    "classes": [
        {"name": "read", "worth": 2.0, "promise_ms": 300.0, "deadline_ms": 2000.0, "effect": "idempotent"},
        {
            "name": "write",
            "worth": 3.0,
            "promise_ms": 500.0,
            "deadline_ms": 3000.0,
            "effect": "deduplicated",
            "dedup_scope": "cell",
            "memory_span_ms": 4000.0,
        },
    ],
    "grades": [{"name": "gold", "usual_rate": 8.0, "reservation": 8.0}],
    "domain": {"changes_data": [False, True], "units_top": 8, "mean_units": 2.0},
    "policy_limits": {
        "conn_idle_ms": 1000.0,
        "connect_timeout_ms": 250.0,
        "cancel": True,
        "max_attempts": 3,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
    },
    "reporting": {"how": "answers", "fields": ["inflight", "util"]},
}
READ = {
    "Host": "api.internal",
    "Req-Id": "9b1f03aa5c7e2d41",
    "Req-Kind": "read",
    "X-Plan": "gold",
    "Req-Deadline-Ms": "480",
    "X-IO": "units=2,shard=5,hosts=2",
}
WRITE = {**READ, "Req-Kind": "write", "Idempotency-Key": "k1", "Content-Length": "3"}
PATH = "/api/00000003b4d60021/7f3a9c21e0b4d655"


def message(start_line: str, headers: dict[str, str]) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items() if value)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def parse_request(headers: dict[str, str], method: str = "GET", path: str = PATH) -> protocol.ParsedRequest:
    codec = ServerCodec(4096)
    codec.feed(message(f"{method} {path} HTTP/1.1", headers))
    head = codec.head()
    assert head is not None and not isinstance(head, NeedData)
    return protocol.RequestParser(SETTINGS).parse(head)


def test_parsed_request_is_forwarded_unchanged_except_for_its_deadline():
    parsed = parse_request({**WRITE, "X-IO": "units=2, shard=-1,hosts=1"}, "PUT", PATH + "?a=b")
    assert parsed.request == api.Request(
        request_id="9b1f03aa5c7e2d41",
        request_class="write",
        plan="gold",
        volume="00000003b4d60021",
        key="7f3a9c21e0b4d655",
        units=2.0,
        shard=-1,
        sharing_gateways=1,
        time_left_ms=480.0,
    )
    parsed.body = b"abc"
    sent = dict(protocol.upstream_headers(parsed, 123.9))
    assert parsed.target == (PATH + "?a=b").encode() and sent[b"req-deadline-ms"] == b"123"
    assert (sent[b"idempotency-key"], sent[b"content-length"]) == (b"k1", b"3")


@pytest.mark.parametrize(
    ("change", "method", "path"),
    [
        ({"Req-Kind": "none"}, "GET", PATH),
        ({"X-Plan": "none"}, "GET", PATH),
        ({"Req-Id": ""}, "GET", PATH),
        ({"Req-Id": "x" * 200}, "GET", PATH),
        ({"Req-Deadline-Ms": "soon"}, "GET", PATH),
        ({"Req-Deadline-Ms": "-5"}, "GET", PATH),
        ({"Req-Deadline-Ms": "0"}, "GET", PATH),
        ({"X-IO": "units=2,shard=5"}, "GET", PATH),
        ({"X-IO": "units=900,shard=5,hosts=1"}, "GET", PATH),
        ({"X-IO": "units=2,shard=-2,hosts=1"}, "GET", PATH),
        ({"X-IO": "units=2,shard=5,hosts=9"}, "GET", PATH),
        ({"Content-Length": "3"}, "GET", PATH),
        ({}, "PUT", PATH),
        ({}, "GET", PATH[:-1]),
        ({}, "GET", "/-/healthy"),
        ({"Content-Length": "70000", "Req-Kind": "write", "Idempotency-Key": "k"}, "PUT", PATH),
        ({"Req-Kind": "write"}, "PUT", PATH),
    ],
)
def test_invalid_request_is_a_client_error_and_not_shed(change, method, path):
    with pytest.raises(ProtocolError) as caught:
        parse_request({**READ, **change}, method, path)
    assert 400 <= caught.value.status < 500 and caught.value.status != 429


def test_duplicate_header_is_an_error():
    codec = ServerCodec(4096)
    codec.feed(message(f"GET {PATH} HTTP/1.1", READ).replace(b"\r\n\r\n", b"\r\nReq-Id: other\r\n\r\n"))
    with pytest.raises(ProtocolError, match="more than one req-id"):
        protocol.RequestParser(SETTINGS).parse(codec.head())


def parse_response_head(start_line: str, headers: dict[str, str]) -> Any:
    codec = ClientCodec(4096)
    codec.request("GET", b"/", [(b"host", b"h")])
    codec.end()
    codec.feed(message(start_line, headers))
    return codec.head()


@pytest.mark.parametrize(
    ("start_line", "headers", "outcome"),
    [
        ("HTTP/1.1 200 OK", {}, AttemptOutcome.SERVED),
        ("HTTP/1.1 503 No", {"Srv-Declined": "1"}, AttemptOutcome.SHED),
        ("HTTP/1.1 504 No", {"Srv-Declined": "1"}, AttemptOutcome.SHED),
        ("HTTP/1.1 503 No", {}, AttemptOutcome.ERROR),
        ("HTTP/1.1 500 No", {"Srv-Declined": "1"}, AttemptOutcome.ERROR),
        ("HTTP/1.1 404 No", {}, AttemptOutcome.ERROR),
    ],
)
def test_outcome_of_a_response_by_status_and_srv_declined(start_line, headers, outcome):
    assert (
        protocol.parse_response(
            parse_response_head(start_line, {**headers, "Content-Length": "0"}), ()
        ).outcome
        is outcome
    )


def test_invalid_numbers_in_a_response_are_ignored():
    good = {"X-Volume-Use": "86", "X-Served-Elsewhere": "3", "Srv-Load": "util=0.61,inflight=7"}
    result = protocol.parse_response(
        parse_response_head("HTTP/1.1 200 OK", {**good, "Content-Length": "0"}), ("inflight", "util")
    )
    assert (result.volume_usage_percent, result.units_via_other_gateways, result.load_report) == (
        86.0,
        3.0,
        (7.0, 0.61),
    )
    bad = {"X-Volume-Use": "nan", "X-Served-Elsewhere": "-1", "Srv-Load": "inflight=x,util"}
    result = protocol.parse_response(
        parse_response_head("HTTP/1.1 200 OK", {**bad, "Content-Length": "0"}), ("inflight", "util")
    )
    assert (
        result.outcome,
        result.volume_usage_percent,
        result.units_via_other_gateways,
        result.load_report,
    ) == (
        AttemptOutcome.SERVED,
        None,
        0.0,
        (),
    )


@pytest.mark.parametrize(
    ("headers", "valid"),
    [
        ({"Content-Length": "5"}, True),
        ({"Transfer-Encoding": "chunked"}, True),
        ({}, False),
        ({"Content-Length": "5", "Transfer-Encoding": "chunked"}, False),
        ({"Content-Length": "3000000000"}, False),
    ],
)
def test_response_must_delimit_its_body_in_one_way_and_within_the_limit(headers, valid):
    assert protocol.has_valid_framing(parse_response_head("HTTP/1.1 200 OK", headers)) is valid


ENTRY = {
    "id": "s-1",
    "addr": "10.1.0.18:7070",
    "zone": "a",
    "cell": 3,
    "state": "in_service",
    "started_ms": 0,
}


def test_endpoint_list_is_parsed():
    listing = discovery_protocol.parse_endpoint_list(
        json.dumps({"version": 4, "full": True, "servers": [ENTRY]}).encode()
    )
    assert listing == discovery_protocol.EndpointListing(
        4,
        True,
        (discovery_protocol.EndpointEntry("s-1", "10.1.0.18:7070", api.EndpointStatus.READY, 3, "a", 0.0),),
    )


@pytest.mark.parametrize(
    "change",
    [{"id": 7}, {"addr": "here"}, {"addr": "h:99999"}, {"state": "new"}, {"cell": "3"}, {"started_ms": "x"}],
)
def test_invalid_endpoint_list_raises_an_error(change):
    with pytest.raises(discovery_protocol.EndpointListError):
        discovery_protocol.parse_endpoint_list({"version": 4, "full": True, "servers": [{**ENTRY, **change}]})


def config(path: Path, **changes: Any) -> dict[str, str]:
    info = {
        "name": "n0",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "known": {"version": 1, "full": True, "servers": [ENTRY]},
        "settings": SETTINGS_JSON,
    }
    path.write_text(json.dumps({**info, **changes}))
    return {
        "NODE_CONFIG": str(path),
        "NODE_NAME": "n0",
        "NODE_LISTEN": "127.0.0.1:1",
        "NODE_DISCOVERY": "127.0.0.1:2",
    }


def test_environment_is_parsed_from_file_and_variables(tmp_path):
    environment = configuration.read_environment(config(tmp_path / "c.json"))
    assert (environment.discovery_address, environment.seed, environment.limits.max_descriptors) == (
        ("127.0.0.1", 8500),
        0x8C1F,
        256,
    )
    assert environment.settings.classes[1].modifies_data and environment.store_idle_timeout_ms == 1000.0
    assert environment.load_report_fields == ("inflight", "util")


@pytest.mark.parametrize(
    ("change", "pattern"),
    [
        ({"listen": "here"}, "HOST:PORT"),
        ({"discovery": "h:0"}, "HOST:PORT"),
        ({"seed": "xyz"}, "hex digits"),
        ({"limits": {"sockets": -1}}, "above 0"),
        ({"settings": {}}, "'settings' is invalid"),
        ({"settings": []}, "give an object"),
    ],
)
def test_invalid_configuration_error_names_the_fault(tmp_path, change, pattern):
    with pytest.raises(configuration.ConfigurationError, match=pattern):
        configuration.read_environment(config(tmp_path / "c.json", **change))


def test_missing_variable_missing_file_and_invalid_json_are_reported(tmp_path):
    for variables in ({}, {"NODE_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(configuration.ConfigurationError, match="NODE_CONFIG"):
            configuration.read_environment(variables)
    (tmp_path / "half").write_text('{"name": ')
    with pytest.raises(configuration.ConfigurationError, match="not valid JSON"):
        configuration.read_environment({"NODE_CONFIG": str(tmp_path / "half")})


def test_idle_limit_follows_the_recent_peak_of_requests():
    """Clients that send one request and stay connected must not use up the connections that others need.

    Before the limit, such clients held every connection that others could have used, and a recorded day got a
    score of 0.07 (on a scale from 0 to 1).
    """
    idle_limit = IdleConnectionLimit(0.0)
    assert idle_limit.limit(0.0, 0) == MIN_IDLE_CONNECTIONS
    assert idle_limit.limit(10.0, 40) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 40
    assert idle_limit.limit(10.0 + PEAK_HALF_LIFE_MS, 0) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 20, (
        "the recent peak decays gradually"
    )
    assert (
        idle_limit.limit(10.0 + 20 * PEAK_HALF_LIFE_MS, 3) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 3
    )


@pytest.mark.parametrize(
    "longest, earliest", [(480.0, 1180.0), (2000.0, 2700.0), (3000.0, 3700.0), (15000.0, 3700.0)]
)
def test_shutdown_responds_before_the_earliest_kill_for_any_deadline(longest, earliest):
    """The platform may kill the process ``earliest`` ms after SIGTERM.

    Requests that arrived more than 0.7 s after SIGTERM and are still open then would be lost.
    """
    now = 5000.0
    times = shutdown_schedule(now, longest)
    assert now <= times.close_connections_from_ms <= times.respond_by_ms < now + earliest - 300.0
    assert times.close_connections_from_ms <= now + earliest - 900.0 or times.close_connections_from_ms == now
    assert times.earliest_exit_ms >= now + 400.0  # new connections arrive until then
