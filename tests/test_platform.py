"""The platform's protocol without sockets: heads, answers, lists, the environment. Each field that can be wrong is wrong once."""

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


def message(first: str, headers: dict[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items() if value)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def parse_request(headers: dict[str, str], method: str = "GET", path: str = PATH) -> protocol.ParsedRequest:
    side = ServerCodec(4096)
    side.feed(message(f"{method} {path} HTTP/1.1", headers))
    head = side.head()
    assert head is not None and not isinstance(head, NeedData)
    return protocol.RequestParser(SETTINGS).parse(head)


def test_a_request_is_read_and_passes_on_unchanged_but_for_its_time():
    read = parse_request({**WRITE, "X-IO": "units=2, shard=-1,hosts=1"}, "PUT", PATH + "?a=b")
    assert read.request == api.Request(
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
    read.body = b"abc"
    sent = dict(protocol.upstream_headers(read, 123.9))
    assert read.target == (PATH + "?a=b").encode() and sent[b"req-deadline-ms"] == b"123"
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
def test_what_cannot_be_used_is_an_error_and_no_refusal(change, method, path):
    with pytest.raises(ProtocolError) as told:
        parse_request({**READ, **change}, method, path)
    assert 400 <= told.value.status < 500 and told.value.status != 429


def test_a_header_that_comes_twice_is_an_error():
    side = ServerCodec(4096)
    side.feed(message(f"GET {PATH} HTTP/1.1", READ).replace(b"\r\n\r\n", b"\r\nReq-Id: other\r\n\r\n"))
    with pytest.raises(ProtocolError, match="more than one req-id"):
        protocol.RequestParser(SETTINGS).parse(side.head())


def parse_response_head(first: str, headers: dict[str, str]) -> Any:
    side = ClientCodec(4096)
    side.request("GET", b"/", [(b"host", b"h")])
    side.end()
    side.feed(message(first, headers))
    return side.head()


@pytest.mark.parametrize(
    ("first", "headers", "outcome"),
    [
        ("HTTP/1.1 200 OK", {}, AttemptOutcome.SERVED),
        ("HTTP/1.1 503 No", {"Srv-Declined": "1"}, AttemptOutcome.SHED),
        ("HTTP/1.1 504 No", {"Srv-Declined": "1"}, AttemptOutcome.SHED),
        ("HTTP/1.1 503 No", {}, AttemptOutcome.ERROR),
        ("HTTP/1.1 500 No", {"Srv-Declined": "1"}, AttemptOutcome.ERROR),
        ("HTTP/1.1 404 No", {}, AttemptOutcome.ERROR),
    ],
)
def test_answers_and_whether_they_prove_that_nothing_ran(first, headers, outcome):
    assert (
        protocol.parse_response(parse_response_head(first, {**headers, "Content-Length": "0"}), ()).outcome
        is outcome
    )


def test_figures_that_cannot_be_read_are_dropped_and_the_answer_counts():
    good = {"X-Volume-Use": "86", "X-Served-Elsewhere": "3", "Srv-Load": "util=0.61,inflight=7"}
    told = protocol.parse_response(
        parse_response_head("HTTP/1.1 200 OK", {**good, "Content-Length": "0"}), ("inflight", "util")
    )
    assert (told.volume_usage_percent, told.units_via_other_gateways, told.load_report) == (
        86.0,
        3.0,
        (7.0, 0.61),
    )
    bad = {"X-Volume-Use": "nan", "X-Served-Elsewhere": "-1", "Srv-Load": "inflight=x,util"}
    told = protocol.parse_response(
        parse_response_head("HTTP/1.1 200 OK", {**bad, "Content-Length": "0"}), ("inflight", "util")
    )
    assert (told.outcome, told.volume_usage_percent, told.units_via_other_gateways, told.load_report) == (
        AttemptOutcome.SERVED,
        None,
        0.0,
        (),
    )


@pytest.mark.parametrize(
    ("headers", "fits"),
    [
        ({"Content-Length": "5"}, True),
        ({"Transfer-Encoding": "chunked"}, True),
        ({}, False),
        ({"Content-Length": "5", "Transfer-Encoding": "chunked"}, False),
        ({"Content-Length": "3000000000"}, False),
    ],
)
def test_an_answer_must_tell_its_end_in_one_way_and_within_the_bound(headers, fits):
    assert protocol.has_valid_framing(parse_response_head("HTTP/1.1 200 OK", headers)) is fits


ENTRY = {
    "id": "s-1",
    "addr": "10.1.0.18:7070",
    "zone": "a",
    "cell": 3,
    "state": "in_service",
    "started_ms": 0,
}


def test_a_list_is_read():
    read = discovery_protocol.parse_endpoint_list(
        json.dumps({"version": 4, "full": True, "servers": [ENTRY]}).encode()
    )
    assert read == discovery_protocol.EndpointListing(
        4,
        True,
        (discovery_protocol.EndpointEntry("s-1", "10.1.0.18:7070", api.EndpointStatus.READY, 3, "a", 0.0),),
    )


@pytest.mark.parametrize(
    "change",
    [{"id": 7}, {"addr": "here"}, {"addr": "h:99999"}, {"state": "new"}, {"cell": "3"}, {"started_ms": "x"}],
)
def test_a_list_that_cannot_be_read_is_told(change):
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


def test_the_environment_is_one_checked_value(tmp_path):
    told = configuration.read_environment(config(tmp_path / "c.json"))
    assert (told.discovery_address, told.seed, told.limits.max_descriptors) == (
        ("127.0.0.1", 8500),
        0x8C1F,
        256,
    )
    assert told.settings.classes[1].modifies_data and told.store_idle_timeout_ms == 1000.0
    assert told.load_report_fields == ("inflight", "util")


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"listen": "here"}, "HOST:PORT"),
        ({"discovery": "h:0"}, "HOST:PORT"),
        ({"seed": "xyz"}, "hex digits"),
        ({"limits": {"sockets": -1}}, "above 0"),
        ({"settings": {}}, "'settings' is invalid"),
        ({"settings": []}, "give an object"),
    ],
)
def test_an_environment_that_cannot_be_used_says_what_is_wrong(tmp_path, change, says):
    with pytest.raises(configuration.ConfigurationError, match=says):
        configuration.read_environment(config(tmp_path / "c.json", **change))


def test_no_file_no_json_and_no_variable_are_told(tmp_path):
    for variables in ({}, {"NODE_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(configuration.ConfigurationError, match="NODE_CONFIG"):
            configuration.read_environment(variables)
    (tmp_path / "half").write_text('{"name": ')
    with pytest.raises(configuration.ConfigurationError, match="not valid JSON"):
        configuration.read_environment({"NODE_CONFIG": str(tmp_path / "half")})


def test_idle_connections_are_kept_by_how_many_were_open_of_late():
    """A recorded day (0.07): clients that ask once and stay were all the connections that others could have had."""
    room = IdleConnectionLimit(0.0)
    assert room.limit(0.0, 0) == MIN_IDLE_CONNECTIONS
    assert room.limit(10.0, 40) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 40
    assert room.limit(10.0 + PEAK_HALF_LIFE_MS, 0) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 20, (
        "not forgotten at once"
    )
    assert room.limit(10.0 + 20 * PEAK_HALF_LIFE_MS, 3) == MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * 3


@pytest.mark.parametrize(
    "longest, earliest", [(480.0, 1180.0), (2000.0, 2700.0), (3000.0, 3700.0), (15000.0, 3700.0)]
)
def test_a_stop_answers_all_before_the_earliest_end_whatever_the_deadlines(longest, earliest):
    """The platform may end the process so long after SIGTERM; what came later than 0.7 s after it and is open is lost."""
    now = 5000.0
    times = shutdown_schedule(now, longest)
    assert now <= times.close_connections_from_ms <= times.respond_by_ms < now + earliest - 300.0
    assert times.close_connections_from_ms <= now + earliest - 900.0 or times.close_connections_from_ms == now
    assert times.earliest_exit_ms >= now + 400.0  # new connections come until then
