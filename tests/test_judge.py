"""The judge can fail: for each rule a record, good but for one exchange, and a gateway that is wrong on purpose."""

from __future__ import annotations

import copy

import anyio
import msgspec
import pytest
from rig import rig, run_async, settings

from winchdyke import interface as api
from winchdyke.days.judge import RULES, InvariantChecker
from winchdyke.days.script import CLASSES, Event, Plan, RequestClass, Rules, Scenario, Volume
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.placement import shard_of
from winchdyke.standins.clients import Clients, Wish

DAY = Scenario(
    "made", 1, 2, 2, 10_000.0, CLASSES, [Plan("basic", 4.0, limit=10.0, limit_burst=20.0, slack=2.0)],
    [Volume("v", "basic", [0, 1], [0, 1], 1.0)], [Event("slow", 0.0, 1.0)],
)  # fmt: skip


def exchange(name: str, at: float, kind: str = "fetch", attempts: int = 1, **changes: object) -> list[dict]:
    """What is seen of one request that is served: by its client, and by store ``s0``."""
    told = {
        "request": f"r-{name}", "gateway": "gateway-0", "client": f"{name}.0", "class": kind, "volume": "v", "units": 1.0,
        "order": "", "repeat_key": name, "method": "PUT", **changes,
    }  # fmt: skip
    asked = {"client": f"{name}.0", "gateway": 0, "class": kind, "method": "PUT", "path": "/v/k"}
    seen = [
        {
            "t": at,
            "who": "client",
            "what": "try",
            "deadline": at + 2500.0,
            "patience": 2500.0,
            "leave": "",
            **asked,
        }
    ]
    for attempt in range(attempts):
        now = at + 2 + 20 * attempt
        last = attempt == attempts - 1
        steps = ["head", "whole", "run", "effect", "answered"] if last else ["head", "shed"]
        seen += [
            {"t": now + n, "who": "s0", "what": step, "attempt": attempt, **told}
            for n, step in enumerate(steps)
        ]
    end = {
        "outcome": "served",
        "status": 200,
        "right": True,
        "reason": "ok",
        "request": f"r-{name}",
        "bytes": 0,
    }
    return [*seen, {"t": at + 30 + 20 * attempts, "who": "client", "what": "answer", **end, **asked}]


def good() -> list[dict]:
    seen = [{"t": 0.0, "who": f"s{n}", "what": "up", "cold": False, "shard": n} for n in range(2)]
    states = {"s0": "ready", "s1": "ready"}
    for gateway in range(2):
        told = {
            "gateway": f"gateway-{gateway}",
            "form": "full",
            "states": states,
            "starts": {"s0": 0.0, "s1": 0.0},
        }
        seen.append({"t": 1.0, "who": "list", "what": "told", **told})
    for number in range(20):
        kind = ("fetch", "submit", "once", "turns")[number % 4]
        order = "v/turn" if kind == "turns" else ""
        seen += exchange(f"w{number}", 100.0 + 200 * number, kind, order=order)
    seen += exchange("again", 5000.0, "submit", attempts=2)
    return seen


def rule(seen: list[dict], number: int):
    verdict = InvariantChecker(DAY, seen).verdict()
    others = [ruling.rule for ruling in verdict.rule_results if not ruling.kept and ruling.rule != number]
    assert not others, f"only rule {number} was to be broken: {others}"
    return verdict.rule_results[number - 1]


def find(seen: list[dict], client: str, what: str, attempt: int | None = None) -> dict:
    return next(
        s
        for s in seen
        if s.get("client") == client and s["what"] == what and attempt in (None, s.get("attempt"))
    )


def test_a_good_record_keeps_all_seven_and_each_was_looked_at():
    verdict = InvariantChecker(DAY, good()).verdict()
    assert verdict.kept
    assert len(verdict.rule_results) == len(RULES)
    assert [ruling.checked > 0 for ruling in verdict.rule_results] == [
        True,
        True,
        True,
        False,
        True,
        True,
        True,
    ]


def _late(seen):
    find(seen, "w0.0", "answer")["t"] += 4000


def _lost(seen):
    seen.remove(find(seen, "w0.0", "answer"))
    seen.append({**find(seen, "w0.0", "try"), "what": "gave-up", "t": 5000.0})


def _twice(seen):
    seen.append(copy.deepcopy(find(seen, "w0.0", "answer")))


def _after(seen):
    seen.append({**find(seen, "w0.0", "head"), "t": find(seen, "w0.0", "answer")["t"] + 300, "attempt": 1})


def _wrong(seen):
    find(seen, "w0.0", "answer")["right"] = False


def _cut(seen):
    answer = find(seen, "w0.0", "answer")
    seen[:] = [s for s in seen if s.get("client") != "w0.0" or s["what"] == "try"]
    seen.append({**answer, "what": "cut"})


@pytest.mark.parametrize("spoil", [_late, _lost, _twice, _after, _wrong, _cut])
def test_rule_1_is_seen_broken(spoil):
    seen = good()
    spoil(seen)
    assert not rule(seen, 1).kept


def test_rule_1_asks_nothing_of_what_a_killed_gateway_held():
    seen = good()
    _lost(seen)
    seen.append({"t": 300.0, "who": "day", "what": "gateway-down", "gateway": "gateway-0"})
    assert rule(seen, 1).kept


def _once_again(seen):
    """An at-most-once request that may have run goes out again."""
    head = find(seen, "w2.0", "head")
    seen.append({**head, "t": head["t"] + 10, "attempt": 1})


def _forgotten(seen):
    """A keyed one goes out again after its store has forgotten it."""
    seen.append({**find(seen, "again.0", "whole", 1), "attempt": 0, "t": 5002.5})
    seen.remove(find(seen, "again.0", "shed"))
    for what in ("head", "whole", "run", "effect", "answered"):
        find(seen, "again.0", what, 1)["t"] += 4500
    for what in ("try", "answer"):
        find(seen, "again.0", what).update(t=find(seen, "again.0", what)["t"] + 4500, deadline=99_000.0)


def _elsewhere(seen):
    """A keyed one goes to another shard."""
    seen.append({**find(seen, "again.0", "whole", 1), "attempt": 0, "t": 5002.5})
    seen.remove(find(seen, "again.0", "shed"))
    find(seen, "again.0", "head", 1)["who"] = "s1"


def _effect_twice(seen):
    seen.append(copy.deepcopy(find(seen, "w1.0", "effect")))


def _refused_though_run(seen):
    find(seen, "w1.0", "answer").update(outcome="refused", status=503)


def _two_out(seen):
    find(seen, "again.0", "shed").update(what="answered", t=5040.0)


@pytest.mark.parametrize("spoil", [_once_again, _elsewhere, _effect_twice, _refused_though_run, _two_out])
def test_rule_2_is_seen_broken(spoil):
    seen = good()
    spoil(seen)
    assert not rule(seen, 2).kept


def test_rule_2_a_repeat_after_the_memory_is_seen():
    seen = good()
    _forgotten(seen)
    assert not InvariantChecker(DAY, seen).check_effects().kept


def test_rule_3_is_seen_broken():
    seen = good()
    told = next(s for s in seen if s["what"] == "told")
    seen.append({**told, "t": 500.0, "form": "changes", "states": {"s0": "draining"}, "starts": {}})
    found = rule(seen, 3)
    assert found.violations and all(entry["t"] > 1500.0 for _, entry in found.violations)


def test_rule_3_counts_from_a_whole_list_that_no_longer_names_the_store():
    seen = good()
    told = next(s for s in seen if s["what"] == "told")
    seen.append({**told, "t": 500.0, "states": {"s1": "ready"}, "starts": {}})
    assert not rule(seen, 3).kept


@pytest.mark.parametrize("informed", [True, False])
def test_rule_4_is_seen_broken_where_the_gateways_knew(informed):
    seen = good()
    seen.append({"t": 50.0, "who": "s0", "what": "up", "cold": True, "shard": 0})
    if informed:
        told = next(s for s in seen if s["what"] == "told")
        seen.append({**told, "t": 60.0, "form": "changes", "states": {"s0": "ready"}, "starts": {"s0": 1e12}})
    seen.append({"t": 1000.0, "who": "s0", "what": "fallen", "sent": 9.0, "most": 5.0, "by": {}})
    assert rule(seen, 4).kept is not informed


def _overlap(seen):
    find(seen, "w3.0", "answered")["t"] = 1510.0
    find(seen, "w3.0", "answer")["t"] = 1520.0


def _no_rest(seen):
    """The earlier one was lost by a reset just before."""
    find(seen, "w3.0", "answered").update(what="lost", how="reset", t=1480.0)
    find(seen, "w3.0", "answer")["t"] = 1490.0


@pytest.mark.parametrize("spoil", [_overlap, _no_rest])
def test_rule_5_is_seen_broken(spoil):
    seen = good()
    spoil(seen)
    assert not rule(seen, 5).kept


def test_rule_6_is_seen_broken():
    seen = good()
    for number in range(8):
        seen += exchange(f"extra{number}", 6000.0 + 30 * number, attempts=2)
    found = rule(seen, 6)
    assert len(found.violations) >= 2
    assert found.checked == 9


def test_rule_7_is_seen_broken():
    seen = good()
    for number in range(26):
        seen += exchange(f"more{number}", 6000.0 + number)
    assert not rule(seen, 7).kept


class Wrong:
    """A scheduler that sends everything at once and again, whatever it is told, and refuses what may have run."""

    def __init__(self, *_: object) -> None:
        self.nodes: dict[int, str] = {}
        self.requests: dict[str, api.Request] = {}
        self.sent: dict[str, int] = {}

    def handle(self, now, events):
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.EndpointList):
                self.nodes |= {
                    node.shard: node.name
                    for node in event.endpoints
                    if node.status is not api.EndpointStatus.REMOVED
                }
            elif isinstance(event, api.Request):
                self.requests[event.request_id], self.sent[event.request_id] = event, 1
                actions.append(api.StartAttempt(event.request_id, self.nodes[event.shard]))
            elif isinstance(event, api.AttemptEnded) and not event.request_finished:
                request = self.requests[event.request_id]
                self.sent[event.request_id] += 1
                again = self.sent[event.request_id] <= 4
                actions.append(
                    api.StartAttempt(request.request_id, self.nodes[request.shard])
                    if again
                    else api.ShedRequest(request.request_id)
                )
        return actions


def test_a_wrong_gateway_is_caught_at_every_rule_it_breaks():
    """On sockets: lost answers, a drain, a cold start, one order key and a limited volume, all ignored."""
    rules = Rules(drain_grace=100.0, cold_from=0.1, warm_after=5000.0, fall_window=300.0, settle=100.0)
    day = msgspec.structs.replace(
        DAY, rules=rules, volumes=[Volume("plain", "basic", list(range(8)), [0], 1.0)]
    )
    kinds: list[RequestClass] = day.classes
    assert {kind.name for kind in kinds} >= {"once", "turns"}

    @run_async
    async def run():
        config = settings(gateway__name="gateway-0")
        wrong = lambda config: SchedulerLoop(config.settings(), 1, Wrong)  # noqa: E731
        async with rig(
            config,
            make_scheduler_loop=wrong,
            unit_ms=30.0,
            cold_from=0.1,
            warm_ms=5000.0,
            fall_window_ms=300.0,
        ) as it:
            it.gateway.pool.verify_identity = None  # or the store's own word on its drain would stop it
            draining, cold, losing = it.stores[0], it.stores[1], it.stores[2]
            losing.lost_share, losing.lost_how = 1.0, "reset"
            await it.list.set(draining.name, "draining", 0, "hall-a")
            cold.kill()
            await anyio.sleep(0.05)
            await cold.start(it.group, cold=True)
            await it.list.set(cold.name, "ready", 1, "hall-a", 1e12)
            await anyio.sleep(0.3)
            # A quarter goes to the cold node, however slowly this machine sends.
            chilly = [key for key in map(str, range(400)) if shard_of("plain", key, range(8)) == 1]
            keys = lambda n: chilly[n % 20] if n % 4 == 1 else f"k{n % 40}"  # noqa: E731
            wishes = [
                Wish(
                    at=3.0 * n, gateway=0, method="PUT", path=f"/plain/{keys(n)}", size=64, class_name=("once", "turns")[n % 2],
                    patience=900.0, deadline=900.0, keyed=bool(n % 2), tries=1,
                )
                for n in range(240)
            ]  # fmt: skip
            clients = Clients(it.record, lambda _: it.gateway.address, 1)
            await clients.run(wishes)
            verdict = InvariantChecker(day, it.record.seen).verdict()
            assert {ruling.rule for ruling in verdict.rule_results if not ruling.kept} >= {2, 3, 4, 5, 6, 7}

    run()
