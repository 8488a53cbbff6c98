"""Mutation tests by scenario: removes one defence at a time and runs scenarios until a rule is violated.

    python -m benchmarks.mutants [--jobs 6] [--only NAME,..] [--out mutants.jsonl]

Each mutant is a copy of the package. The results go to docs/mutants.md. Scenarios take minutes of real time, so CI does not
run them. A test checks that the source of each mutant occurs exactly once.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.to_thread
import click
import msgspec

from winchdyke.days.campaign import ScenarioResult, ScenarioRun, run_in_subprocess
from winchdyke.days.judge import RULES

HOME = Path(__file__).resolve().parent.parent
DAYS = ("bad-day", "change-day", "blind-day")
SEEDS = (5, 4)


@dataclass(frozen=True)
class Mutant:
    """One defence and its removal.

    Attributes:
        name: Identifies the mutant in the results.
        file: The module, relative to the package.
        old: Its source text with the defence.
        new: The text without it.
        first: The scenario that runs first.
        rules: Violations of these rules count; late answers on a busy host say nothing about most defences.
        test: The test that detects the mutant if no scenario does.
    """

    name: str
    file: str
    old: str
    new: str
    first: str = "bad-day"
    rules: tuple[int, ...] = (2, 3, 4, 5, 6, 7)
    test: str = ""


DISPATCH = "scheduling/dispatch.py"
ADMISSION = "scheduling/admission.py"
QUOTA = "scheduling/quota.py"
BUDGET = "scheduling/retry_budget.py"
HEALTH = "scheduling/endpoint_health.py"
ENDPOINT = "scheduling/endpoint_state.py"
REQUEST = "scheduling/pending_request.py"
SCHEDULER = "scheduling/scheduler.py"
SERVICE, ATTEMPTS, SCHEDULER_LOOP = "gateway/service.py", "gateway/attempts.py", "gateway/scheduler_loop.py"
EXCHANGE = "gateway/exchange.py"
TOKEN_BUCKET, BYTE_METERING, ENDPOINT_VIEW = (
    "quotas/token_bucket.py",
    "quotas/byte_metering.py",
    "discovery/endpoint_view.py",
)
TRANSITIONS = "discovery/endpoint_transitions.py"
MUTANTS = [
    # Scheduling
    Mutant("limit never asked", DISPATCH, "if _waits_for_limit(pending):", "if False:"),
    Mutant("limit not parted among gateways", QUOTA, "            plan.limit_burst_units / self.sharing_gateways,\n            self.limit_units + plan.limit_units_per_s / self.sharing_gateways * seconds,",
           "            plan.limit_burst_units,\n            self.limit_units + plan.limit_units_per_s * seconds,"),
    Mutant("limit never spent", DISPATCH, "        pending.quota.limit_units -= request.units\n", ""),
    Mutant("limit burst not bounded", QUOTA, "self.limit_units = min(\n            plan.limit_burst_units / self.sharing_gateways,", "self.limit_units = max(\n            0.0,"),
    Mutant("accounts begin full", QUOTA, "self.limit_units = 0.0", "self.limit_units = plan.limit_burst_units", test="test_a_request_that_its_volumes_limit_cannot_admit_in_time_is_shed_at_once"),
    Mutant("budget never asked", DISPATCH, "return not pending.attempts or state.retry_budget.allows(state.now)", "return True"),
    Mutant("budget never spent", DISPATCH, "state.retry_budget.record_retry(now)", "pass"),
    Mutant("budget window a third", BUDGET, "window_start = now - self.settings.retry_budget_window_ms", "window_start = now - self.settings.retry_budget_window_ms / 3"),
    Mutant("budget share tripled", BUDGET, "settings.retry_budget_ratio * len(self.request_times)", "3 * settings.retry_budget_ratio * len(self.request_times)"),
    Mutant("attempts of a request not counted", ADMISSION, "if len(pending.attempts) >= state.settings.max_attempts:", "if False:"),
    Mutant("cold bound never asked", DISPATCH, "if not endpoint.admits_during_slow_start(\n            state.settings,\n            now,\n            pending.request.units,\n            shard.throughput_units_per_s,\n            state.gateways_sharing_a_shard,\n        ):", "if False:"),
    Mutant("cold credit never spent", DISPATCH, "    endpoint.slow_start_credit_units -= request.units\n    endpoint.overdraft_fraction = state.random.random()\n", ""),
    Mutant("cold starts not heard of", HEALTH, "if not entry.started_at_ms or entry.started_at_ms <= endpoint.started_at_ms:", "if True:"),
    Mutant("cold bound by four times the flow", ENDPOINT, "SLOW_START_UTILIZATION = 1.0", "SLOW_START_UTILIZATION = 4.0"),
    Mutant("drains not heeded", HEALTH, "endpoint.ready = entry.status is api.EndpointStatus.READY", "endpoint.ready = entry.status is not api.EndpointStatus.REMOVED"),
    Mutant("order not kept", DISPATCH, "if not pending.request_class.in_order or not key or pending.attempts:", "if True:"),
    Mutant("keys do not rest", DISPATCH, "return first is not pending or state.now < state.settling_keys.get(key, state.now)", "return first is not pending"),
    Mutant("rest after nothing", SCHEDULER, "if pending.request_class.in_order and outcome in MAY_STILL_RUN:", "if False:"),
    Mutant("at most once repeated", REQUEST, "if executed is None or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT:", "if True:"),
    Mutant("what may have run not noted", SCHEDULER, "if not outcome.proves_no_effect:", "if False:"),
    Mutant("memory taken for endless", REQUEST, "remembered = now < executed.sent_at_ms + self.request_class.deduplication_window_ms", "remembered = True"),
    Mutant("refused though it may have run", REQUEST, "request_class.repeat_safety is RepeatSafety.IDEMPOTENCY_KEY\n            and request_class.deduplication_scope is DeduplicationScope.ALL", "True"),
    Mutant("end of a request not heard", SCHEDULER, "if pending.finished or event.request_finished:", "if pending.finished:", rules=(1, 2, 6), test="test_requests_within_the_reservation_skip_the_pause_if_the_endpoint_responds_in_time"),
    # Byte metering
    Mutant("large bodies not paid for", BYTE_METERING, "await self._byte_meter.charge_when_settled(self._volume, self._volume_meter, units, self._deadline_ms)", "pass"),
    Mutant("debts do not stand in the way", BYTE_METERING, "if debt.is_settled and not debt.queued_units:", "if True:"),
    Mutant("debts paid by nobody", TOKEN_BUCKET, "        self.units -= payment", "        self.units = 0.0"),
    Mutant("small answers not paid for", BYTE_METERING, "            self._byte_meter.charge_now(self._volume, excess_units)\n", "            pass\n", test="test_small_reads_of_unknown_size_come_out_of_the_bucket"),
    # Gateway service
    Mutant("units not counted", "object_api/routes.py", "return min(max_units, max(1.0, units))", "return 1.0", test="test_an_operation_costs_its_bytes_in_units"),
    Mutant("the client's time not heeded", SERVICE, "operation.time_left_ms or rules.deadline_ms", "rules.deadline_ms", rules=(1,)),
    Mutant("stores not told the key of a repeat", "gateway/store_request.py", "if request_class.repeat_safety is api.RepeatSafety.IDEMPOTENCY_KEY:", "if False:"),
    Mutant("served not told as over", EXCHANGE, "finished = served or result.streamed or result.error is not None", "finished = False", rules=(1, 2, 6), test="test_a_store_that_dies_during_a_streamed_response_closes_the_clients_connection"),
    Mutant("order key not made of the volume", SERVICE, "if rules.in_order:", "if False:", test="test_the_order_key_sent_to_stores_contains_the_volume_and_the_key"),
    Mutant("a client's leaving not heeded", EXCHANGE, "            self._scheduler_loop.client_disconnected(exchange.handle)\n            attempt = exchange.running", "            attempt = None", rules=(1,), test="test_the_client_disconnects"),
    Mutant("a cut answer left open", "gateway/final_response.py", "connection.close_after_response = True  # otherwise the response would look complete", "pass", rules=(1,)),
    # Attempts
    Mutant("a reset claims that nothing ran", ATTEMPTS, "            result = AttemptResult(self._outcome_of_connection_error())\n        except ProtocolError:\n            result = AttemptResult(AttemptOutcome.CONNECTION_RESET)",
           "            result = AttemptResult(AttemptOutcome.NOT_SENT)\n        except ProtocolError:\n            result = AttemptResult(AttemptOutcome.NOT_SENT)"),
    Mutant("an error claims that nothing ran", ATTEMPTS, "return AttemptResult(AttemptOutcome.ERROR, report=report, status=head.status)", "return AttemptResult(AttemptOutcome.SHED, report=report, status=head.status)"),
    Mutant("a shed taken for an answer", "object_api/store_protocol.py", "return head.status >= 500 and any(\n        name == NOT_RUN_HEADER and value == b\"1\" for name, value in head.headers\n    )", "return False", test="test_the_outcome_of_a_broken_response_is_reported_and_a_read_is_retried"),
    Mutant("attempts have no time", ATTEMPTS, "anyio.current_time() + max(0.0, timeout_ms) / 1000", "anyio.current_time() + 60", rules=(1,)),
    # Scheduler loop
    Mutant("timers not fired", SCHEDULER_LOOP, "events.append(api.TimerFired(heapq.heappop(timers)[2]))", "heapq.heappop(timers)", rules=(1,)),
    Mutant("answers told twice", SCHEDULER_LOOP, "        handle.finished = True\n        del self.open_requests[action.request_id]", "        pass", rules=(1, 2), test="test_actions_reach_the_handle_of_their_request"),
    # Discovery
    Mutant("strangers not told apart", ENDPOINT_VIEW, "if endpoint.identity and evidence.identity and evidence.identity != endpoint.identity:", "if False:", "blind-day"),
    Mutant("a store's own drain not heard", TRANSITIONS, "self.mark_draining(endpoint, DRAINING_BY_OWN_REPORT, now_ms)", "pass", "blind-day"),
    Mutant("a list's drain not heard", TRANSITIONS, "if entry.status is EndpointStatus.DRAINING:\n            self.mark_draining(endpoint,", "if False:\n            self.mark_draining(endpoint,"),
    Mutant("a store's age not heard", TRANSITIONS, "if restarted or not endpoint.uptime_reported:", "if False:", "blind-day"),
    Mutant("what is not known counts as warm", TRANSITIONS, "endpoint.started_at_ms = now_ms  # an unknown start time", "endpoint.started_at_ms = 0.0  # an unknown start time", "blind-day", test="test_restored_endpoints_are_checked_singly_latest_confirmed_first_and_warm_up"),
    # Settings rollout
    Mutant("a lowered limit leaves accounts as they were", "config_rollout/hot_reload.py", "quota.plan = plan\n    quota.settings = settings", "pass", "change-day"),
    Mutant("harm not undone", "config_rollout/controller.py", "if verdict.harmful:", "if False:", "change-day"),
    Mutant("requests see settings as they are now", SERVICE, "            context.record.config_version,", "            self.snapshot.version,", "change-day"),
    # S3
    Mutant("sums not compared", "s3/body.py", "if self._md5 is not None and not hmac", "if False and not hmac"),
    Mutant("last bytes not held back", "s3/body.py", "ready, self._held = self._held, data\n        return ready", "return data"),
]  # fmt: skip


class MutantResult(msgspec.Struct):
    """The result of one mutant; a line of the output file."""

    name: str
    file: str
    day: str = ""
    seed: int = 0
    rule: int = 0
    times: int = 0
    first: str = ""
    played: list[str] = []
    seconds: float = 0.0


def remove_defence(mutant: Mutant, text: str) -> str:
    """Remove the defence from a file's text. Raises ValueError if its source does not occur exactly once."""
    if text.count(mutant.old) != 1:
        raise ValueError(
            f"{mutant.name}: {mutant.file} contains its source {text.count(mutant.old)} times, not once"
        )
    return text.replace(mutant.old, mutant.new)


def play(mutant: Mutant) -> MutantResult:
    """Run scenarios with the mutant until one detects it."""
    started_at, result = time.monotonic(), MutantResult(mutant.name, mutant.file)
    with tempfile.TemporaryDirectory(prefix="winchdyke-mutant-") as folder:
        directory = Path(folder)
        shutil.copytree(
            HOME / "winchdyke", directory / "winchdyke", ignore=shutil.ignore_patterns("__pycache__")
        )
        path = directory / "winchdyke" / mutant.file
        path.write_text(remove_defence(mutant, path.read_text()))
        days = [mutant.first, *(day for day in DAYS if day != mutant.first)]
        for seed in SEEDS:
            for day in days:
                scenario_result = run_in_subprocess(ScenarioRun(day, seed), directory)
                result.played.append(f"{day} {seed}: {scenario_result.outcome}")
                if scenario_result.logs:
                    shutil.rmtree(scenario_result.logs, ignore_errors=True)
                scenario_result.broken = [
                    broken for broken in scenario_result.broken if broken.rule in mutant.rules
                ]
                if scenario_result.broken or scenario_result.outcome == "failed":
                    _record_detection(result, scenario_result)
                    result.seconds = time.monotonic() - started_at
                    return result
    result.seconds = time.monotonic() - started_at
    return result


def _record_detection(result: MutantResult, scenario_result: ScenarioResult) -> None:
    result.day, result.seed = scenario_result.day, scenario_result.seed
    if scenario_result.broken:
        worst = max(scenario_result.broken, key=lambda each: each.times)
        result.rule, result.times, result.first = worst.rule, worst.times, worst.first
    else:
        result.first = scenario_result.trouble


def render_page(results: list[MutantResult]) -> str:
    """The text of docs/mutants.md."""
    detected = [result for result in results if result.day]
    tests = {mutant.name: mutant.test for mutant in MUTANTS}
    lines = [
        "# Mutants: which day tells that a defence is gone",
        "",
        "`python -m benchmarks.mutants` takes one defence at a time out of a copy of the package and plays days with it until a rule breaks.",
        f"{len(detected)} of {len(results)} were told by a day. Seeds {', '.join(map(str, SEEDS))}; days in turn:",
        f"{', '.join(DAYS)}, or the one that is likeliest first.",
        "",
        "| defence taken out | file | told by | rule | times | first |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for result in results:
        detected_by = (
            f"`{result.day}` {result.seed}"
            if result.day
            else f"no day; {tests.get(result.name) or 'no test'}"
        )
        rule = RULES[result.rule - 1] if result.rule else ""
        first = result.first.replace("|", "/")[:110]
        lines.append(
            f"| {result.name} | `{result.file}` | {detected_by} | {rule} | {result.times or ''} | {first} |"
        )
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--jobs", default=6, show_default=True, type=click.IntRange(1, 64))
@click.option("--only", default="", help="Names of mutants, separated by commas.")
@click.option("--out", default=Path("mutants.jsonl"), type=click.Path(path_type=Path))
def main(jobs: int, only: str, out: Path) -> None:
    """Run all mutants without a result in OUT, and write the page."""
    results = (
        [msgspec.json.decode(line, type=MutantResult) for line in out.read_bytes().splitlines()]
        if out.exists()
        else []
    )
    selected = [name.strip() for name in only.split(",") if name.strip()]
    known = {result.name for result in results}
    remaining = [m for m in MUTANTS if m.name not in known and (not selected or m.name in selected)]

    async def run() -> None:
        slots = anyio.Semaphore(jobs)

        async def run_one(mutant: Mutant) -> None:
            async with slots:
                result = await anyio.to_thread.run_sync(play, mutant)
            results.append(result)
            with out.open("ab") as file:
                file.write(msgspec.json.encode(result) + b"\n")
            click.echo(
                f"{result.name}: {result.day or 'NOT DETECTED'} {result.first[:80]} ({result.seconds:.0f} s)"
            )

        async with anyio.create_task_group() as group:
            for mutant in remaining:
                group.start_soon(run_one, mutant)

    anyio.run(run)
    order = {mutant.name: number for number, mutant in enumerate(MUTANTS)}
    ordered = sorted(
        (result for result in results if result.name in order), key=lambda result: order[result.name]
    )
    (HOME / "docs" / "mutants.md").write_text(render_page(ordered))
    click.echo(f"{sum(bool(result.day) for result in ordered)} of {len(ordered)} detected by a scenario")


if __name__ == "__main__":
    main()
