"""No table of the scheduler grows with the names, numbers or times that clients make up, and no limit is lost with a table."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import SETTINGS, Gateway, node, request

from winchdyke import interface as api
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.scheduling import unused_quotas

FLOOD_REQUESTS = 4000
MAX_QUOTAS = 10
DAYS_MS = 1e9


def held_values(root: object) -> int:
    """Count the values in all containers that an object holds, at any depth."""
    seen: set[int] = set()
    waiting: list[Any] = [root]
    count = 0
    while waiting:
        each = waiting.pop()
        if id(each) in seen:
            continue
        seen.add(id(each))
        if isinstance(each, dict):
            values = [*each.keys(), *each.values()]
        elif isinstance(each, (str, bytes, type)) or not hasattr(each, "__iter__"):
            values = list(getattr(each, "__dict__", {}).values())
        else:
            values = list(each)
        count += len(values)
        waiting.extend(values)
    return count


@pytest.mark.parametrize(
    "names",
    [
        lambda number: {"shard": 1000 + number},
        lambda number: {"volume": f"made-up-{number}"},
        lambda number: {"volume": f"made-up-{number}", "plan": "capped", "shard": 1000 + number},
        lambda number: {"key": f"made-up-{number}"},
        lambda number: {"time_left_ms": DAYS_MS + number},
        lambda number: {"key": f"made-up-{number}", "request_class": "turns"},
        lambda number: {"shard": -1, "volume": f"made-up-{number}", "request_class": "write"},
    ],
    ids=[
        "shards",
        "volumes",
        "volumes of a plan with a limit",
        "keys",
        "deadlines",
        "ordered keys",
        "new objects",
    ],
)
def test_nothing_is_kept_of_requests_that_have_ended_whatever_they_name(monkeypatch, names):
    # Guards against tables that one client fills: ever new shards took a gateway from 17 MB over its limit of 80.
    monkeypatch.setattr(unused_quotas, "MAX_QUOTAS", MAX_QUOTAS)
    gateway = Gateway()
    gateway.set_endpoints()
    for number in range(100):
        gateway.submit(f"before-{number}")
        if gateway.sent(f"before-{number}"):
            gateway.end(f"before-{number}", api.AttemptOutcome.SERVED)
        gateway.run(5.0)
    gateway.run(20_000.0)
    before = held_values(gateway.scheduler)
    for number in range(FLOOD_REQUESTS):
        gateway.submit(f"flood-{number}", **names(number))
        if gateway.sent(f"flood-{number}"):
            gateway.end(f"flood-{number}", api.AttemptOutcome.SERVED)
        gateway.run(1.0)
    gateway.run(60_000.0)
    for number in range(2000):
        gateway.submit(f"after-{number}", shard=7)
        gateway.run(1.0)
    gateway.run(20_000.0)
    gateway.submit("last", shard=7)
    gateway.run(20_000.0)
    assert held_values(gateway.scheduler) < before + 1000
    assert len(gateway.timers) < 10, "no timer outlives its request for long"


def test_request_whose_client_waits_for_days_has_a_timer_until_its_end():
    # Guards against timers that are kept for as long as a client claims to wait, and against a deadline without one.
    gateway = Gateway()
    gateway.set_endpoints()
    gateway.submit("patient", time_left_ms=20_000.0)
    assert gateway.sent("patient")
    for _ in range(19):
        gateway.run(1000.0)
        assert list(gateway.scheduler.deadline_timers.values()) == ["patient"]
        assert gateway.timers
    gateway.end("patient", api.AttemptOutcome.CONNECT_FAILED)
    gateway.run(1000.0)
    assert "patient" in gateway.answers


def test_volume_keeps_its_limit_however_many_others_are_named(monkeypatch):
    # Guards against a tenant that gets rid of what it owes by requests for many other volumes.
    monkeypatch.setattr(unused_quotas, "MAX_QUOTAS", MAX_QUOTAS)
    gateway = Gateway()
    gateway.set_endpoints()
    gateway.run(60_000.0)
    for number in range(4):
        gateway.submit(f"spent-{number}", volume="tenant", plan="capped", units=8.0)
        gateway.end(f"spent-{number}", api.AttemptOutcome.SERVED)
    spent = gateway.scheduler.quotas["tenant"]
    assert spent.limit_units < 1.0
    for number in range(500):
        gateway.submit(f"other-{number}", volume=f"other-{number}", shard=7)
        gateway.run(1.0)
    assert gateway.scheduler.quotas["tenant"] is spent
    assert gateway.scheduler.quotas_forgotten > 400
    assert spent.limit_units < 8.0
    gateway.run(20_000.0)  # it has recovered, and a new quota allows the same
    for number in range(100):
        gateway.submit(f"later-{number}", volume=f"later-{number}", shard=7)
    assert "tenant" not in gateway.scheduler.quotas
    gateway.submit("next", volume="tenant", plan="capped", units=8.0)
    assert gateway.scheduler.quotas["tenant"].limit_units == pytest.approx(spent.limit_units - 8.0)


def test_volume_with_an_open_request_is_not_forgotten(monkeypatch):
    # Guards against a request whose attempts are charged to a quota that nobody looks at any more.
    monkeypatch.setattr(unused_quotas, "MAX_QUOTAS", 0)
    gateway = Gateway()
    gateway.set_endpoints()
    gateway.submit("open", volume="tenant", time_left_ms=30_000.0)
    quota = gateway.scheduler.quotas["tenant"]
    gateway.run(20_000.0)
    for number in range(100):
        gateway.submit(f"other-{number}", volume=f"other-{number}", shard=7)
    assert (gateway.scheduler.quotas["tenant"], quota.open_requests) == (quota, 1)
    gateway.end("open", api.AttemptOutcome.SERVED)
    assert quota.open_requests == 0


def test_volumes_that_are_new_since_a_count_are_all_found_although_some_were_forgotten(monkeypatch):
    # Guards against a change of settings that misses a volume, because earlier ones were dropped from the table.
    monkeypatch.setattr(unused_quotas, "MAX_QUOTAS", 2)
    now = [1000.0]
    loop = SchedulerLoop(SETTINGS, 1, clock=lambda: now[0])
    loop.post(api.EndpointList(api.EndpointListKind.FULL, (node("n0", 0), node("n1", 1))))

    def submit(name: str, shard: int = 7) -> None:
        loop.submit(request(name, volume=name, shard=shard))
        loop.process_events()

    for number in range(20):
        submit(f"old-{number}")
    count = len(loop.volumes_with_quota())
    now[0] += 20_000.0
    submit("new", shard=0)
    for number in range(20):
        submit(f"later-{number}")
    assert loop.quota("old-0") is None
    assert "new" in loop.volumes_with_quota(count)
