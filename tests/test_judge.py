"""The invariant checker detects violations of each rule: in records with one faulty exchange, and of a faulty scheduler."""

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
from winchdyke.standins.clients import Clients, PlannedRequest

SCENARIO = Scenario(
    "made", 1, 2, 2, 10_000.0, CLASSES, [Plan("basic", 4.0, limit=10.0, limit_burst=20.0, slack=2.0)],
    [Volume("v", "basic", [0, 1], [0, 1], 1.0)], [Event("slow", 0.0, 1.0)],
)  # fmt: skip


def exchange(
    name: str, at: float, class_name: str = "fetch", attempts: int = 1, **changes: object
) -> list[dict]:
    """The entries of one served request, from its client and from store ``s0``."""
    common = {
        "request": f"r-{name}", "gateway": "gateway-0", "client": f"{name}.0", "class": class_name, "volume": "v", "units": 1.0,
        "order": "", "repeat_key": name, "method": "PUT", **changes,
    }  # fmt: skip
    client_fields = {
        "client": f"{name}.0",
        "gateway": 0,
        "class": class_name,
        "method": "PUT",
        "path": "/v/k",
    }
    record = [
        {
            "t": at,
            "who": "client",
            "what": "try",
            "deadline": at + 2500.0,
            "patience": 2500.0,
            "leave": "",
            **client_fields,
        }
    ]
    for attempt in range(attempts):
        now = at + 2 + 20 * attempt
        last = attempt == attempts - 1
        steps = ["head", "whole", "run", "effect", "answered"] if last else ["head", "shed"]
        record += [
            {"t": now + n, "who": "s0", "what": step, "attempt": attempt, **common}
            for n, step in enumerate(steps)
        ]
    answer_fields = {
        "outcome": "served",
        "status": 200,
        "right": True,
        "reason": "ok",
        "request": f"r-{name}",
        "bytes": 0,
    }
    return [
        *record,
        {"t": at + 30 + 20 * attempts, "who": "client", "what": "answer", **answer_fields, **client_fields},
    ]


def valid_record() -> list[dict]:
    record = [{"t": 0.0, "who": f"s{n}", "what": "up", "cold": False, "shard": n} for n in range(2)]
    states = {"s0": "ready", "s1": "ready"}
    for gateway in range(2):
        common = {
            "gateway": f"gateway-{gateway}",
            "form": "full",
            "states": states,
            "starts": {"s0": 0.0, "s1": 0.0},
        }
        record.append({"t": 1.0, "who": "list", "what": "told", **common})
    for number in range(20):
        class_name = ("fetch", "submit", "once", "turns")[number % 4]
        order = "v/turn" if class_name == "turns" else ""
        record += exchange(f"w{number}", 100.0 + 200 * number, class_name, order=order)
    record += exchange("again", 5000.0, "submit", attempts=2)
    return record


def check_rule(record: list[dict], number: int):
    verdict = InvariantChecker(SCENARIO, record).verdict()
    others = [result.rule for result in verdict.rule_results if not result.kept and result.rule != number]
    assert not others, f"only rule {number} should be violated: {others}"
    return verdict.rule_results[number - 1]


def find_entry(record: list[dict], client: str, what: str, attempt: int | None = None) -> dict:
    return next(
        entry
        for entry in record
        if entry.get("client") == client and entry["what"] == what and attempt in (None, entry.get("attempt"))
    )


def test_a_valid_record_violates_no_rule_and_each_rule_is_checked():
    verdict = InvariantChecker(SCENARIO, valid_record()).verdict()
    assert verdict.kept
    assert len(verdict.rule_results) == len(RULES)
    assert [result.checked > 0 for result in verdict.rule_results] == [
        True,
        True,
        True,
        False,
        True,
        True,
        True,
    ]


def _answer_after_deadline(record):
    find_entry(record, "w0.0", "answer")["t"] += 4000


def _lose_answer(record):
    record.remove(find_entry(record, "w0.0", "answer"))
    record.append({**find_entry(record, "w0.0", "try"), "what": "gave-up", "t": 5000.0})


def _answer_twice(record):
    record.append(copy.deepcopy(find_entry(record, "w0.0", "answer")))


def _send_after_answer(record):
    record.append(
        {
            **find_entry(record, "w0.0", "head"),
            "t": find_entry(record, "w0.0", "answer")["t"] + 300,
            "attempt": 1,
        }
    )


def _corrupt_body(record):
    find_entry(record, "w0.0", "answer")["right"] = False


def _close_connection(record):
    answer = find_entry(record, "w0.0", "answer")
    record[:] = [entry for entry in record if entry.get("client") != "w0.0" or entry["what"] == "try"]
    record.append({**answer, "what": "cut"})


@pytest.mark.parametrize(
    "corrupt",
    [
        _answer_after_deadline,
        _lose_answer,
        _answer_twice,
        _send_after_answer,
        _corrupt_body,
        _close_connection,
    ],
)
def test_violations_of_rule_1_are_detected(corrupt):
    record = valid_record()
    corrupt(record)
    assert not check_rule(record, 1).kept


def test_rule_1_ignores_requests_that_a_killed_gateway_held():
    record = valid_record()
    _lose_answer(record)
    record.append({"t": 300.0, "who": "day", "what": "gateway-down", "gateway": "gateway-0"})
    assert check_rule(record, 1).kept


def _repeat_at_most_once(record):
    """An at-most-once request that may have run is sent again."""
    head = find_entry(record, "w2.0", "head")
    record.append({**head, "t": head["t"] + 10, "attempt": 1})


def _repeat_after_deduplication_window(record):
    """A request with an idempotency key is sent again after the store's deduplication window."""
    record.append({**find_entry(record, "again.0", "whole", 1), "attempt": 0, "t": 5002.5})
    record.remove(find_entry(record, "again.0", "shed"))
    for what in ("head", "whole", "run", "effect", "answered"):
        find_entry(record, "again.0", what, 1)["t"] += 4500
    for what in ("try", "answer"):
        find_entry(record, "again.0", what).update(
            t=find_entry(record, "again.0", what)["t"] + 4500, deadline=99_000.0
        )


def _repeat_on_another_shard(record):
    """A request with an idempotency key is sent again to another shard."""
    record.append({**find_entry(record, "again.0", "whole", 1), "attempt": 0, "t": 5002.5})
    record.remove(find_entry(record, "again.0", "shed"))
    find_entry(record, "again.0", "head", 1)["who"] = "s1"


def _duplicate_effect(record):
    record.append(copy.deepcopy(find_entry(record, "w1.0", "effect")))


def _refuse_after_run(record):
    find_entry(record, "w1.0", "answer").update(outcome="refused", status=503)


def _send_concurrent_attempts(record):
    find_entry(record, "again.0", "shed").update(what="answered", t=5040.0)


@pytest.mark.parametrize(
    "corrupt",
    [
        _repeat_at_most_once,
        _repeat_on_another_shard,
        _duplicate_effect,
        _refuse_after_run,
        _send_concurrent_attempts,
    ],
)
def test_violations_of_rule_2_are_detected(corrupt):
    record = valid_record()
    corrupt(record)
    assert not check_rule(record, 2).kept


def test_rule_2_detects_a_repeat_after_the_deduplication_window():
    record = valid_record()
    _repeat_after_deduplication_window(record)
    assert not InvariantChecker(SCENARIO, record).check_effects().kept


def test_violations_of_rule_3_are_detected():
    record = valid_record()
    list_report = next(entry for entry in record if entry["what"] == "told")
    record.append({**list_report, "t": 500.0, "form": "changes", "states": {"s0": "draining"}, "starts": {}})
    result = check_rule(record, 3)
    assert result.violations and all(entry["t"] > 1500.0 for _, entry in result.violations)


def test_rule_3_counts_a_full_list_without_the_store_as_its_removal():
    record = valid_record()
    list_report = next(entry for entry in record if entry["what"] == "told")
    record.append({**list_report, "t": 500.0, "states": {"s1": "ready"}, "starts": {}})
    assert not check_rule(record, 3).kept


@pytest.mark.parametrize("informed", [True, False])
def test_violations_of_rule_4_are_detected_if_the_gateways_knew_of_the_cold_start(informed):
    record = valid_record()
    record.append({"t": 50.0, "who": "s0", "what": "up", "cold": True, "shard": 0})
    if informed:
        list_report = next(entry for entry in record if entry["what"] == "told")
        record.append(
            {**list_report, "t": 60.0, "form": "changes", "states": {"s0": "ready"}, "starts": {"s0": 1e12}}
        )
    record.append({"t": 1000.0, "who": "s0", "what": "fallen", "sent": 9.0, "most": 5.0, "by": {}})
    assert check_rule(record, 4).kept is not informed


def _overlap_requests_of_a_key(record):
    find_entry(record, "w3.0", "answered")["t"] = 1510.0
    find_entry(record, "w3.0", "answer")["t"] = 1520.0


def _send_before_settle_time(record):
    """The earlier request of the key was lost by a reset shortly before."""
    find_entry(record, "w3.0", "answered").update(what="lost", how="reset", t=1480.0)
    find_entry(record, "w3.0", "answer")["t"] = 1490.0


@pytest.mark.parametrize("corrupt", [_overlap_requests_of_a_key, _send_before_settle_time])
def test_violations_of_rule_5_are_detected(corrupt):
    record = valid_record()
    corrupt(record)
    assert not check_rule(record, 5).kept


def test_violations_of_rule_6_are_detected():
    record = valid_record()
    for number in range(8):
        record += exchange(f"extra{number}", 6000.0 + 30 * number, attempts=2)
    result = check_rule(record, 6)
    assert len(result.violations) >= 2
    assert result.checked == 9


def test_violations_of_rule_7_are_detected():
    record = valid_record()
    for number in range(26):
        record += exchange(f"more{number}", 6000.0 + number)
    assert not check_rule(record, 7).kept


class FaultyScheduler:
    """A scheduler that sends each request at once, retries it up to three times, and sheds requests that may have run."""

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
                may_retry = self.sent[event.request_id] <= 4
                actions.append(
                    api.StartAttempt(request.request_id, self.nodes[request.shard])
                    if may_retry
                    else api.ShedRequest(request.request_id)
                )
        return actions


def test_each_rule_that_a_faulty_scheduler_violates_is_detected():
    """Over sockets, with a scheduler that ignores lost answers, a drain, a cold start, order keys and a limit."""
    # So cold and for so long that the tenth unit is too much for the cold store, however slowly this host sends.
    cold_capacity, warm_up_ms, window_ms = 0.001, 1e9, 30_000.0
    rules = Rules(
        drain_grace=100.0, cold_from=cold_capacity, warm_after=warm_up_ms, fall_window=window_ms, settle=100.0
    )
    scenario = msgspec.structs.replace(
        SCENARIO, rules=rules, volumes=[Volume("plain", "basic", list(range(8)), [0], 1.0)]
    )
    classes: list[RequestClass] = scenario.classes
    assert {each.name for each in classes} >= {"once", "turns"}

    @run_async
    async def run():
        config = settings(gateway__name="gateway-0")
        faulty_loop = lambda config: SchedulerLoop(config.settings(), 1, FaultyScheduler)  # noqa: E731
        async with rig(
            config,
            make_scheduler_loop=faulty_loop,
            unit_ms=30.0,
            cold_start_capacity=cold_capacity,
            warm_up_ms=warm_up_ms,
            overload_window_ms=window_ms,
        ) as it:
            # Otherwise the gateway would stop sending when the store itself reports its drain.
            it.gateway.pool.verify_identity = None
            draining, cold, losing = it.stores[0], it.stores[1], it.stores[2]
            losing.lost_share, losing.lost_how = 1.0, "reset"
            await it.list.set(draining.name, "draining", 0, "hall-a")
            cold.kill()
            await anyio.sleep(0.05)
            await cold.start(it.group, cold=True)
            await it.list.set(cold.name, "ready", 1, "hall-a", 1e12)
            await it.wait_until(
                lambda: any(
                    entry["what"] == "told" and entry["starts"].get(cold.name) for entry in it.record.entries
                )
            )
            await anyio.sleep(0.3)
            # A quarter of the requests goes to the cold node. Of each eight, which are sent at the same time, two share a
            # key of the class whose requests keep their order, so that they overlap however slow this host is.
            cold_keys = [key for key in map(str, range(400)) if shard_of("plain", key, range(8)) == 1]
            shared_key_of = lambda n: f"k{n // 8}" if n % 4 == 3 else f"k{n % 40}"  # noqa: E731
            key_of = lambda n: cold_keys[n % 20] if n % 4 == 1 else shared_key_of(n)  # noqa: E731
            requests = [
                PlannedRequest(
                    at=24.0 * (n // 8), gateway=0, method="PUT", path=f"/plain/{key_of(n)}", size=64,
                    class_name=("once", "turns")[n % 2],
                    patience=900.0, deadline=900.0, has_idempotency_key=bool(n % 2), max_tries=1,
                )
                for n in range(240)
            ]  # fmt: skip
            clients = Clients(it.record, lambda _: it.gateway.address, 1)
            await clients.run(requests)
            verdict = InvariantChecker(scenario, it.record.entries).verdict()
            assert {result.rule for result in verdict.rule_results if not result.kept} >= {
                2,
                3,
                4,
                5,
                6,
                7,
            }

    run()
