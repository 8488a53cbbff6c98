"""The object API: paths, ranges, placement, listings and uploads, in pure functions and through a gateway."""

from __future__ import annotations

import json
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig import rig, run_async

from winchdyke.http1 import RequestHead
from winchdyke.object_api import listing, ranges, routes
from winchdyke.object_api.answers import RequestError
from winchdyke.placement import placed_key, shard_of

KEYS = st.text(st.characters(exclude_categories=("Cs", "Cc")), min_size=1, max_size=60).filter(
    lambda key: not key.startswith("/") and not {".", ".."} & set(key.split("/"))
)


def parse_request(method: str, target: bytes, *headers: tuple[bytes, bytes]) -> routes.Operation:
    return routes.parse(RequestHead(method, target, list(headers), 0))


@pytest.mark.parametrize(
    ("method", "target", "name"),
    [
        ("GET", b"/v", "list"),
        ("GET", b"/v/", "list"),
        ("POST", b"/v", "post"),
        ("GET", b"/v/a/b", "get"),
        ("HEAD", b"/v/k", "head"),
        ("PUT", b"/v/k", "put"),
        ("DELETE", b"/v/k", "delete"),
        ("POST", b"/v/k?uploads", "start-upload"),
        ("PUT", b"/v/k?uploadId=u1&partNumber=3", "put-part"),
        ("GET", b"/v/k?uploadId=u1", "list-parts"),
        ("POST", b"/v/k?uploadId=u1", "complete-upload"),
        ("DELETE", b"/v/k?uploadId=u1", "abort-upload"),
    ],
)
def test_methods_and_queries_select_operations(method, target, name):
    assert parse_request(method, target).name == name


@pytest.mark.parametrize(
    ("method", "target", "status", "reason"),
    [
        ("GET", b"/", 400, "bad-path"),
        ("GET", b"*", 400, "bad-path"),
        ("GET", b"http://elsewhere/v/k", 400, "bad-path"),
        ("GET", b"/v/..", 400, "bad-path"),
        ("GET", b"/v/a/../b", 400, "bad-path"),
        ("GET", b"/v/%2e%2e/b", 400, "bad-path"),
        ("GET", b"/v/a/%2E", 400, "bad-path"),
        ("GET", b"/v%2Fw/k", 400, "bad-path"),
        ("GET", b"/../k", 400, "bad-path"),
        ("GET", b"/v//k", 400, "bad-path"),
        ("GET", b"/v/%2Fk", 400, "bad-path"),
        ("GET", b"/v/%zz", 400, "bad-path"),
        ("GET", b"/v/%ff", 400, "bad-path"),
        ("GET", b"/v/\xc3\xa9", 400, "bad-path"),
        ("GET", b"/v/a%00b", 400, "bad-path"),
        ("GET", b"/v/a%0Ab", 400, "bad-path"),
        ("GET", b"/v/" + b"k" * 1025, 400, "bad-path"),
        ("GET", b"/" + b"v" * 64 + b"/k", 400, "bad-path"),
        ("PUT", b"/v", 405, "method"),
        ("PATCH", b"/v/k", 405, "method"),
        ("POST", b"/v/k", 405, "method"),
        ("GET", b"/v/k?partNumber=1", 400, "bad-query"),
        ("PUT", b"/v/k?uploadId=u1", 400, "bad-query"),
        ("PUT", b"/v/k?uploadId=u1&partNumber=0", 400, "bad-query"),
        ("PUT", b"/v/k?uploadId=u1&partNumber=10001", 400, "bad-query"),
        ("GET", b"/v/k?uploadId=../u", 400, "bad-query"),
        ("GET", b"/v/k?other=1", 400, "bad-query"),
        ("GET", b"/v?limit=many", 400, "bad-query"),
        ("GET", b"/v?limit=1&limit=2", 400, "bad-query"),
    ],
)
def test_invalid_requests_are_rejected_with_a_reason(method, target, status, reason):
    with pytest.raises(RequestError) as caught:
        parse_request(method, target)
    assert (caught.value.status, caught.value.reason) == (status, reason)


@pytest.mark.parametrize("value", [b"0", b"-3", b"soon", b"1e9999", b"4", b"nan"])
def test_time_left_must_be_a_positive_duration(value):
    if value == b"4":
        assert parse_request("GET", b"/v/k", (b"winchdyke-time-left", value)).time_left_ms == 4.0
        return
    with pytest.raises(RequestError):
        parse_request("GET", b"/v/k", (b"winchdyke-time-left", value))


@given(KEYS)
def test_a_key_is_unchanged_in_the_request_to_the_store(key):
    from urllib.parse import quote, unquote

    if len(key.encode()) > 1024:
        return
    operation = parse_request("GET", f"/v/{quote(key, safe='')}".encode())
    assert operation.key == key
    assert unquote(operation.target().decode().removeprefix("/v/")) == key


def test_the_longest_key_and_keys_in_other_scripts_are_accepted():
    assert len(parse_request("GET", b"/v/" + b"k" * 1024).key) == 1024
    assert parse_request("GET", b"/v/%C5%A1kola/%E8%A9%A6%E9%A8%93").key == "škola/試験"
    assert parse_request("GET", b"/v/a%2Fb").key == "a/b", "an escaped slash is decoded"


@pytest.mark.parametrize(
    ("text", "size", "want"),
    [
        ("bytes=0-9", 100, (0, 9)),
        ("bytes=90-", 100, (90, 99)),
        ("bytes=90-500", 100, (90, 99)),
        ("bytes=-10", 100, (90, 99)),
        ("bytes=-500", 100, (0, 99)),
        ("bytes=100-", 100, None),
        ("bytes=-0", 100, None),
        ("bytes=0-", 0, None),
    ],
)
def test_ranges_resolve_to_first_and_last_byte(text, size, want):
    assert ranges.parse(text).resolve(size) == want


@pytest.mark.parametrize(
    "text", [None, "", "bytes=", "bytes=-", "bytes=5-3", "bytes=0-1,4-5", "lines=0-1", "bytes=a-b"]
)
def test_invalid_and_multiple_ranges_are_ignored(text):
    assert ranges.parse(text) is None


@given(st.one_of(st.none(), st.integers(0, 50)), st.one_of(st.none(), st.integers(0, 50)), st.integers(1, 40))
def test_a_partial_response_must_have_the_requested_range(first, last, size):
    if (first is None and last is None) or (first is not None and last is not None and last < first):
        return
    requested = ranges.ByteRange(first, last)
    resolved = requested.resolve(size)
    if resolved is None:
        return
    content_range = f"bytes {resolved[0]}-{resolved[1]}/{size}"
    assert ranges.response_matches(requested, 206, content_range, resolved[1] - resolved[0] + 1)
    assert not ranges.response_matches(requested, 206, content_range, resolved[1] - resolved[0] + 2)
    if first is not None:
        assert not ranges.response_matches(
            requested,
            206,
            f"bytes {resolved[0] + 1}-{resolved[1] + 1}/{size + 1}",
            resolved[1] - resolved[0] + 1,
        )
    assert not ranges.response_matches(None, 206, content_range, None)
    assert ranges.response_matches(requested, 200, None, size), "a store may respond with the whole object"


@given(
    st.lists(st.lists(st.integers(0, 40), unique=True, max_size=12), min_size=1, max_size=5),
    st.integers(1, 6),
)
def test_pages_of_a_merged_listing_contain_every_key_once_in_order(shards, limit):
    used: set[int] = set()
    keys_by_store = []
    for keys in shards:
        keys_by_store.append(sorted(f"k{key:02}" for key in keys if key not in used))
        used |= set(keys)
    shown: list[str] = []
    after = ""
    for _ in range(60):
        pages = []
        for keys in keys_by_store:
            remaining = [key for key in keys if key > after]
            page = [listing.Entry(key, 1, "") for key in remaining[:limit]]
            pages.append(listing.Page(page, remaining[limit - 1] if len(remaining) > limit else None))
        page = listing.merge(pages, limit)
        shown += [entry.key for entry in page.objects]
        if page.next is None:
            break
        assert page.next > after
        after = page.next
    assert shown == sorted(f"k{key:02}" for key in used)


def test_keys_are_spread_over_shards_and_a_new_shard_takes_only_its_share():
    keys = [f"key-{number}" for number in range(4000)]
    four, five = [0, 1, 2, 3], [0, 1, 2, 3, 9]
    counts = Counter(shard_of("v", key, four) for key in keys)
    assert min(counts.values()) > 850
    moved = [key for key in keys if shard_of("v", key, four) != shard_of("v", key, five)]
    assert all(shard_of("v", key, five) == 9 for key in moved)
    assert 600 < len(moved) < 1000
    assert [shard_of("v", key, four) for key in ("a", "b", "c", "d")] == [
        shard_of("v", k, four[::-1]) for k in "abcd"
    ]


def test_a_placed_key_names_its_shard_and_an_unknown_shard_is_ignored():
    assert shard_of("v", placed_key("0" * 32, 3), [1, 3]) == 3
    assert shard_of("v", placed_key("0" * 32, 7), [1, 3]) in (1, 3)
    with pytest.raises(ValueError, match="no shards"):
        shard_of("v", "k", [])


def test_conditional_requests_and_ranges_through_the_gateway():
    @run_async
    async def run():
        async with rig() as it:
            tag = (await it.request("PUT", "/school-1/k", b"0123456789")).headers["etag"]
            assert (await it.request("PUT", "/school-1/k", b"x", if_none_match="*")).status == 412
            assert (await it.request("PUT", "/school-1/k", b"0123456789", if_match=tag)).status == 200
            assert (await it.request("GET", "/school-1/k", if_match='"other"')).status == 412
            assert (await it.request("GET", "/school-1/k", if_none_match=tag)).status == 304
            part = await it.request("GET", "/school-1/k", range="bytes=2-4")
            assert (part.status, part.body, part.headers["content-range"]) == (206, b"234", "bytes 2-4/10")
            assert (await it.request("GET", "/school-1/k", range="bytes=7-")).body == b"789"
            assert (await it.request("GET", "/school-1/k", range="bytes=-2")).body == b"89"
            beyond_the_end = await it.request("GET", "/school-1/k", range="bytes=10-")
            assert (beyond_the_end.status, beyond_the_end.headers["content-range"]) == (416, "bytes */10")
            assert (await it.request("GET", "/school-1/k", range="bytes=2-4", if_range='"old"')).status == 200
            assert (await it.request("GET", "/school-1/k", range="bytes=0-1,4-5")).status == 200
            head = await it.request("HEAD", "/school-1/k")
            assert (head.status, head.headers["content-length"], head.body) == (200, "10", b"")
            assert (await it.request("DELETE", "/school-1/k")).status == 204
            assert (await it.request("GET", "/school-1/k")).status == 404
            assert (await it.request("GET", "/v1/k", winchdyke_class="submit")).reason == "no-class"
            assert (await it.request("PATCH", "/school-1/k")).headers["allow"].startswith("GET")

    run()


def test_a_multipart_upload():
    @run_async
    async def run():
        async with rig() as it:
            upload = json.loads((await it.request("POST", "/school-1/big?uploads")).body)["uploadId"]
            upload_url = f"/school-1/big?uploadId={upload}"
            for number, data in ((2, b"second"), (1, b"first "), (3, b"unwanted")):
                assert (await it.request("PUT", f"{upload_url}&partNumber={number}", data)).status == 200
            listed = json.loads((await it.request("GET", upload_url)).body)["parts"]
            assert [part["partNumber"] for part in listed] == [1, 2, 3]
            assert (await it.request("POST", upload_url, b'{"parts": [2, 1]}')).status == 400
            assert (await it.request("GET", "/school-1/big")).status == 404
            assert (await it.request("POST", upload_url, b'{"parts": [1, 2]}')).status == 201
            assert (await it.request("GET", "/school-1/big")).body == b"first second"
            assert (await it.request("GET", upload_url)).status == 404
            other = json.loads((await it.request("POST", "/school-1/big?uploads")).body)["uploadId"]
            assert (await it.request("DELETE", f"/school-1/big?uploadId={other}")).status == 204

    run()


def test_a_posted_object_is_placed_by_the_scheduler_and_can_be_read_and_listed():
    @run_async
    async def run():
        async with rig() as it:
            locations = [
                (await it.request("POST", "/school-1", b"mine %d" % n)).headers["location"] for n in range(6)
            ]
            for number, location in enumerate(locations):
                assert (await it.request("GET", location)).body == b"mine %d" % number
            assert len({location.rpartition("~")[2] for location in locations}) > 1
            first = json.loads((await it.request("GET", "/school-1?limit=4")).body)
            rest = json.loads((await it.request("GET", f"/school-1?limit=4&after={first['next']}")).body)
            keys = [entry["key"] for entry in first["objects"] + rest["objects"]]
            assert keys == sorted(location.removeprefix("/school-1/") for location in locations)
            it.stores[0].kill()
            refused = await it.request("GET", "/school-1", winchdyke_time_left="300ms")
            assert refused.status == 503, "an incomplete listing must not look complete"

    run()


def test_a_posted_object_that_stores_shed_is_stored_on_another_store():
    @run_async
    async def run():
        async with rig(stores=2) as it:
            for store in it.stores:
                store.tricks.append("shed")
            response = await it.request("POST", "/school-1", b"mine")
            assert response.status == 201
            assert it.outcomes == ["SHED", "SHED", "SERVED"]
            assert (await it.request("GET", response.headers["location"])).body == b"mine"

    run()
