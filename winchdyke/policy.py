"""Every decision of the scheduler; its types, events and actions are in ``winchdyke/interface.py``.

A request is held until its node has room: Gradient2 windows, class shares, CoDel. See ``docs/design.md``.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome, DeduplicationScope, RepeatSafety

# Gradient2: the window of requests out at one node.
INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT = (
    4.0,
    1.0,
    16.0,
)  # several; one keeps latency heard; half the design's top
MAX_UNDIVIDED_GATEWAYS = (
    6  # gateways that may each go by these figures: with more, all their floors end at so many requests
)
UPDATE_INTERVAL_MS, MIN_SAMPLES = 500.0, 3  # of a step: some ten service times, and enough to judge by
SHORT_GAIN, LONG_GAIN = 0.15, 0.01  # averages over some 7 answers, and some 100, of all that share
TOLERANCE = 1.25  # a rise of the short average that still counts as noise
CLAMP, SMOOTHING = 0.5, 0.5  # no more than a halving is sought in one step, and half of it done at once
NODE_PART = 0.1  # of the tightest aim, for an average request: the most latency that may count as normal

TARGET, CODEL_INTERVAL = 0.75, 1.0  # CoDel, in aims: past the target there is hardly time left to be served

COST_GAIN, COST_QUANTILE = 0.01, 0.1  # a low quantile of the latency for each unit is near the work itself
SURE = 2.0  # time left, in expected latencies, from which on the aim counts as made

LOST = 8.0  # usual latencies after which an attempt counts as lost, once its node has answered a later one
SILENT_AIMS = 2.0  # silence past this many of the shortest aims, with work out, makes a node suspect
TRIAL_MS, TRIAL_MAX_MS = 250.0, 2000.0  # first and longest gap between single requests to a suspect node
COLD_PART = 1.0  # of the rule's multiple is used for a shard's flow, and for what a cold node serves
COLD_BURST = 0.5  # of a window's cold units at once; the other part flows in evenly
SHARERS = 1.5  # times the gateways that a shard has by this one's own count: shards differ, and some are yet to be seen
SWEEP_INTERVAL_MS = 25.0  # between looks at what only time changes: well under any aim
WATCH_RETRY_MS, WATCH_MAX_MS = 500.0, 8000.0  # after a failed list call, doubling: one service serves all
RATE_MS, FLOW_MS = 1500.0, 15000.0  # half-lives: near the second that plans count in; of a shard's flow


class Gradient2Limit:
    """Gradient2: how many requests may be out at a node, learnt from the latency of served attempts."""

    def __init__(self, now: float) -> None:
        self.sharing_gateways, self.min_limit = 1.0, MIN_LIMIT  # gateways that share its figures
        self.limit, self.peak_in_flight, self.next_update_at_ms, self.sample_count = (
            INITIAL_LIMIT,
            0,
            now + UPDATE_INTERVAL_MS,
            0,
        )
        self.mean_latency_ms = self.mean_expected_ms = self.long_ratio = 0.0
        self.short_ratio = 1.0  # latency over expected work, so that big requests do not read as overload

    def divide_among(self, gateways: int, fleet: int) -> None:
        # Guards against many gateways at one node, each with few requests: against a jam that their windows
        # keep up when nodes slow down or die, demand jumps, or latency rises from any other cause. A volume's
        # gateways tell who is likely to send. It hurts where the others are idle, until the window has grown.
        crowd = max(self.sharing_gateways, min(gateways, fleet / MAX_UNDIVIDED_GATEWAYS))
        self.limit, self.sharing_gateways = self.limit * self.sharing_gateways / crowd, crowd
        self.min_limit = MIN_LIMIT / max(1.0, fleet / MAX_UNDIVIDED_GATEWAYS)

    def record(self, latency: float, expected: float) -> None:
        gain = 1 - (1 - SHORT_GAIN) ** self.sharing_gateways if self.mean_expected_ms else 1.0
        self.mean_latency_ms += gain * (max(latency, 1e-6) - self.mean_latency_ms)
        self.mean_expected_ms += gain * (expected - self.mean_expected_ms)
        self.short_ratio = self.mean_latency_ms / self.mean_expected_ms
        self.long_ratio += (1 - (1 - LONG_GAIN) ** self.sharing_gateways if self.long_ratio else 1.0) * (
            self.short_ratio - self.long_ratio
        )
        self.sample_count += 1

    def update(self, now: float, normal: float) -> None:
        if now < self.next_update_at_ms or self.sample_count < MIN_SAMPLES / self.sharing_gateways:
            return
        # Guards against congestion learnt as normal, from whatever cause. It hurts where a node is slow for
        # good: its window stays at the floor, though nothing stands behind its latency.
        self.long_ratio = min(self.long_ratio, normal)
        gradient = min(1.0, max(CLAMP, TOLERANCE * self.long_ratio / self.short_ratio))
        # The root step fades with the gradient: at a window of 4 it would otherwise outweigh the deepest cut.
        fade = (gradient - CLAMP) / (1 - CLAMP) * (2 * self.peak_in_flight >= self.limit)
        gain = SMOOTHING ** (
            1 / self.sharing_gateways
        )  # where many share a node steps are rare: more of each at once
        self.limit += gain * (
            self.limit * gradient + fade * (self.limit / self.sharing_gateways) ** 0.5 - self.limit
        )
        self.limit = min(MAX_LIMIT / self.sharing_gateways, max(self.min_limit, self.limit))
        self.next_update_at_ms, self.sample_count, self.peak_in_flight = now + UPDATE_INTERVAL_MS, 0, 0


class CoDel:
    """RFC 8289 for one class at one shard: stale requests go, ever faster while the queue stands."""

    def __init__(self, aim: float) -> None:
        self.target_ms, self.interval_ms = TARGET * aim, CODEL_INTERVAL * aim
        self.next_drop_at_ms, self.drop_count = -1.0, 0

    def should_drop(self, now: float, sojourn: float) -> bool:
        if sojourn < self.target_ms:
            self.next_drop_at_ms, self.drop_count = -1.0, 0
        elif self.next_drop_at_ms < 0:
            self.next_drop_at_ms = now + self.interval_ms
        elif now >= self.next_drop_at_ms:
            self.drop_count += 1
            self.next_drop_at_ms += self.interval_ms / self.drop_count**0.5
            return True
        return False


class RetryBudget:
    """The attempts beyond a request's first that one gateway may make in any window."""

    def __init__(self, cfg: api.Settings) -> None:
        self.settings, self.request_times, self.retry_times = cfg, deque[float](), deque[float]()

    def allows(self, now: float) -> bool:
        cfg, since = self.settings, now - self.settings.retry_budget_window_ms
        for times, first in ((self.request_times, since), (self.retry_times, since - cfg.clock_tick_ms)):
            while times and times[0] <= first:
                times.popleft()
        most = cfg.retry_budget_base + cfg.retry_budget_ratio * len(self.request_times)
        return not cfg.retry_budget_window_ms or len(self.retry_times) + 1 <= most


class VolumeQuota:
    """A volume's account: its reserve, its use here and elsewhere, and this gateway's part of its limit."""

    def __init__(self, cfg: api.Settings, plan: api.Plan, now: float) -> None:
        self.settings, self.plan, self.refilled_at_ms, self.sharing_gateways = cfg, plan, now, 1
        self.own_units_per_s = self.own_units_per_s_at_report = self.total_units_per_s = (
            0.0  # units a second: sent now, when the meter ran, everywhere
        )
        self.reported_at_ms, self.gateway_fraction = -1e18, 1.0
        self.shards = set[int]()  # that it was asked for at, here
        # Both stores begin empty: a gateway that was killed cannot know what it or others just spent.
        self.reserved_units = self.limit_units = 0.0

    def refill(self, now: float) -> None:
        seconds, plan, self.gateway_fraction = (
            (now - self.refilled_at_ms) / 1000,
            self.plan,
            1.0 / self.sharing_gateways,
        )
        if now - self.reported_at_ms < 2 * RATE_MS:
            seen = (self.own_units_per_s_at_report + self.gateway_fraction) / (
                max(self.total_units_per_s, self.own_units_per_s_at_report) + 1.0
            )
            self.gateway_fraction = min(
                1.0, max(self.gateway_fraction / 2 if self.sharing_gateways > 1 else 1.0, seen)
            )
        self.own_units_per_s, self.refilled_at_ms = (
            self.own_units_per_s * 0.5 ** (seconds * 1000 / RATE_MS),
            now,
        )
        most = (plan.reserved_units_per_s + self.settings.max_request_units) * self.gateway_fraction
        self.reserved_units = min(
            most, self.reserved_units + plan.reserved_units_per_s * self.gateway_fraction * seconds
        )
        self.limit_units = min(
            plan.limit_burst_units / self.sharing_gateways,
            self.limit_units + plan.limit_units_per_s / self.sharing_gateways * seconds,
        )


class PendingRequest:
    """A request that this gateway has taken, until it is finished and its attempts have ended."""

    def __init__(self, request: api.Request, kind: api.RequestClass, volume: VolumeQuota, now: float) -> None:
        self.request, self.request_class, self.quota, self.queued_at_ms = request, kind, volume, now
        self.shard, self.first_received_at_ms, self.objective_at_ms, self.deadline_ms = (
            request.shard,
            now,
            now,
            now,
        )
        self.attempts: list[tuple[EndpointState, float]] = []
        self.attempts_in_flight = self.attempts_cancelled = (
            0  # attempts out; how many there had been when the last was called off
        )
        self.limit_charged = (
            False  # whether its limit's units are taken by an attempt that may have come to its node
        )
        self.first_possible_execution: tuple[EndpointState, float] | None = (
            None  # the first attempt that may have run
        )
        self.finished = False

    def may_be_sent_to(self, node: EndpointState, now: float) -> bool:
        """The repeat rule: never two out, and only where a repeat does no harm."""
        if (
            self.attempts_in_flight
            or self.first_possible_execution is None
            or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT
        ):
            return not self.attempts_in_flight
        first, sent = self.first_possible_execution
        group = {
            DeduplicationScope.ALL: True,
            DeduplicationScope.ZONE: first.zone == node.zone,
            DeduplicationScope.SHARD: first.shard == node.shard,
        }
        fresh = now < sent + self.request_class.deduplication_window_ms
        return (
            fresh
            and self.request_class.repeat_safety is RepeatSafety.IDEMPOTENCY_KEY
            and group[self.request_class.deduplication_scope]
        )

    @property
    def may_be_shed(self) -> bool:
        everywhere = (
            self.request_class.repeat_safety is RepeatSafety.IDEMPOTENCY_KEY
            and self.request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return (
            everywhere
            or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT
            or (self.first_possible_execution is None and not self.attempts_in_flight)
        )


class EndpointState:
    """What this gateway knows of a node: the list's word, its window, its health and its warm-up."""

    def __init__(self, entry: api.Endpoint, now: float) -> None:
        self.name, self.shard, self.zone, self.ready = entry.name, entry.shard, entry.zone, False
        self.concurrency_limit, self.last_response_at_ms, self.started_at_ms = Gradient2Limit(now), now, -1e18
        self.in_flight: dict[tuple[str, int], tuple[float, str]] = {}
        self.suspected_since_ms: float | None = None  # since when it has been suspect
        self.limit_before_suspicion = INITIAL_LIMIT  # the window when silence made it suspect
        self.last_answered_sent_at_ms = -1e18  # when the latest attempt that it answered was sent
        self.restart_suspected = False  # a failed connection was seen since
        self.removed = False  # no list names it any more
        self.next_health_check_at_ms = self.health_check_interval_ms = self.slow_start_credit_units = 0.0
        self.warmup_goodput_units, self.warmup_goodput_at_ms = (
            0.0,
            now,
        )  # units that it served in good time while cold, fading
        self.overdraft_fraction = (
            1.0  # of a request that overdraws the credit: the part of it to be saved up first
        )
        self.slow_start_credit_at_ms = now

    def begin_slow_start(self, born: float, now: float, phase: float) -> None:
        """Be cold; what others sent a moment ago is not known, so nothing is saved up."""
        (
            self.started_at_ms,
            self.slow_start_credit_units,
            self.slow_start_credit_at_ms,
            self.suspected_since_ms,
            self.overdraft_fraction,
        ) = born, 0.0, now, None, phase
        self.warmup_goodput_units = 0.0

    def warmup_fraction(self, cfg: api.Settings, now: float) -> float:
        """The part of its power that it has by now, at the least."""
        grown = (
            (1 - cfg.slow_start_initial_capacity)
            * max(0.0, now - self.started_at_ms)
            / max(1.0, cfg.slow_start_duration_ms)
        )
        return min(1.0, cfg.slow_start_initial_capacity + grown)

    def record_warmup_goodput(self, cfg: api.Settings, now: float, units: float) -> None:
        fade: float = 0.5 ** (
            (now - self.warmup_goodput_at_ms) / max(1.0, cfg.slow_start_overload_window_ms)
        )  # longer, it lags
        self.warmup_goodput_units, self.warmup_goodput_at_ms = self.warmup_goodput_units * fade + units, now

    def admits_during_slow_start(
        self, cfg: api.Settings, now: float, units: float, flow: float, sharers: float
    ) -> bool:
        """Whether a node may be sent so much: a cold one has this gateway's part of the rule's units."""
        able = self.warmup_fraction(cfg, now)
        if not cfg.slow_start_overload_window_ms or able >= 1:
            return True
        # Guards against power that stands idle long after it is back: an even part of the stated units is
        # next to nothing where few of many gateways use the node. What each was served there adds up to no
        # more than its shard could do, and what the node itself served in good time to no more than it can
        # do now. It hurts where the successor is less than half as strong.
        self.record_warmup_goodput(cfg, now, 0.0)
        shown = max(able * flow * cfg.slow_start_overload_window_ms / 1000, 0.693 * self.warmup_goodput_units)
        learnt = COLD_PART * cfg.slow_start_overload_factor * shown
        even = able * cfg.slow_start_initial_units / sharers / cfg.slow_start_initial_capacity
        part = max(even, learnt)
        grown = (
            max(even * (1 - COLD_BURST), learnt)
            * (now - self.slow_start_credit_at_ms)
            / cfg.slow_start_overload_window_ms
        )
        # One larger than the part overdraws, at a moment spread over the time that the part needs for it, or
        # all gateways that hear of a start would do so at once.
        need = min(units, max(part * COLD_BURST, self.overdraft_fraction * units))
        self.slow_start_credit_units, self.slow_start_credit_at_ms = (
            min(max(part * COLD_BURST, need), self.slow_start_credit_units + grown),
            now,
        )
        return self.slow_start_credit_units >= need

    def has_capacity(self, now: float, held: PendingRequest, shares: dict[str, float]) -> bool:
        """Room in the window; a full one still takes a class that is under its firm share of it."""
        if self.suspected_since_ms is not None:
            return now >= self.next_health_check_at_ms
        if self.concurrency_limit.limit < 1:
            # Kept by a pause after each answer; what is in its reserve, and in time, does not wait it out.
            promised = (
                held.quota.reserved_units > 0
                and self.concurrency_limit.mean_latency_ms < held.objective_at_ms - now
            )
            over = now - self.last_response_at_ms >= self.concurrency_limit.mean_latency_ms * (
                1 / self.concurrency_limit.limit - 1
            )
            return not self.in_flight and (promised or over)
        if len(self.in_flight) < int(self.concurrency_limit.limit):
            return True
        mine = sum(name == held.request_class.name for _, name in self.in_flight.values())
        return (
            mine < int(self.concurrency_limit.limit * shares[held.request_class.name])
            and len(self.in_flight) < MAX_LIMIT
        )


class Shard:
    """A shard: its nodes, what is held for it, and what this gateway has sent it."""

    def __init__(self) -> None:
        self.endpoints, self.queue = dict[str, EndpointState](), dict[str, PendingRequest]()
        self.codels = dict[str, CoDel]()
        self.quotas = dict[str, VolumeQuota]()  # that were asked for here
        self.without_ready_endpoint_since_ms: float | None = -1e18  # since when it has no ready node
        self.served_units = self.served_span_ms = self.last_served_at_ms = (
            0.0  # served here by warm nodes, and in what time; fading
        )

    def record_served(self, now: float, units: float, warm: bool) -> None:
        if warm and self.last_served_at_ms:
            fade = 0.5 ** ((now - self.last_served_at_ms) / FLOW_MS)
            self.served_units, self.served_span_ms = (
                self.served_units * fade + units,
                self.served_span_ms * fade + now - self.last_served_at_ms,
            )
        self.last_served_at_ms = now

    @property
    def throughput_units_per_s(self) -> float:
        """Units a second that this gateway was served, over a short time only a part of it; or its usual part."""
        # Guards against cold nodes that nobody uses because nobody has used their shards yet: gateways that have
        # just started. It hurts where the usual rates are more than the nodes were made for.
        usual = sum(
            v.plan.expected_units_per_s / v.sharing_gateways / len(v.shards) for v in self.quotas.values()
        )
        return max(usual, 1000 * self.served_units / max(self.served_span_ms, FLOW_MS / 3))

    def active_endpoint(self) -> EndpointState | None:
        """The node that serves it now; of several, the one that came up last."""
        ready = [node for node in self.endpoints.values() if node.ready]
        return max(
            ready, key=lambda node: (node.suspected_since_ms is None, node.started_at_ms), default=None
        )


class Scheduler:
    """One gateway's decisions: hand it each batch of events with the time, and carry out what it returns."""

    def __init__(self, cfg: api.Settings, seed: int, now: float) -> None:
        self.settings, self.now, self.random = cfg, now, random.Random(seed)
        self.classes, self.plans = {k.name: k for k in cfg.classes}, {p.name: p for p in cfg.plans}
        worth = sum(k.priority_weight for k in cfg.classes) or 1.0
        self.class_shares = {k.name: k.priority_weight / worth for k in cfg.classes}
        self.silence_timeout_ms = SILENT_AIMS * min(
            (k.latency_objective_ms for k in cfg.classes), default=0.0
        )
        self.longest_deadline_ms = max((k.deadline_ms for k in cfg.classes), default=0.0)
        # ms of work for each unit, by class; until it is learnt, a part of the class's aim
        self.unit_cost_ms = {
            k.name: NODE_PART / 2 * k.latency_objective_ms / cfg.mean_request_units for k in cfg.classes
        }
        self.endpoints, self.quotas = dict[str, EndpointState](), dict[str, VolumeQuota]()
        self.requests, self.deadline_timers = dict[str, PendingRequest](), dict[int, str]()
        self.shed_requests: dict[
            tuple[str, str], float
        ] = {}  # when what was refused first came, by volume and key
        self.shards = defaultdict[int, Shard](Shard)
        self.shards_with_queue: set[int] = set()  # shards at which requests are held
        self.settling_keys: dict[str, float] = {}  # until when keys rest after an attempt that may still run
        self.retry_budget = RetryBudget(cfg)
        self.last_timer_id, self.watching, self.next_watch_at_ms, self.watch_backoff_ms = (
            1,
            not cfg.polls_endpoint_list,
            now,
            WATCH_RETRY_MS,
        )
        self.started_at_ms = now
        self.sweep_timer_set = False
        self.actions: list[api.Action] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.actions, sweep = now, [], not self.endpoints
        for event in events:
            if isinstance(event, api.Request):
                self.take(event)
            elif isinstance(event, api.AttemptEnded):
                self.ended(event)
            elif isinstance(event, api.EndpointList):
                self.listed(event)
            elif isinstance(event, api.TimerFired):
                if not event.timer_id:
                    sweep, self.sweep_timer_set = True, False
                held = self.requests.get(self.deadline_timers.pop(event.timer_id, ""))
                if held and not held.finished and not held.attempts_in_flight:
                    self.close(held)
            elif isinstance(event, api.ClientDisconnected) and event.request_id in self.requests:
                held = self.requests[event.request_id]
                self.finish(held)
                if held.attempts_in_flight:
                    self.actions.append(api.AbandonAttempt(event.request_id, len(held.attempts) - 1))
        if sweep:
            self.sweep()
        for number in sorted(self.shards_with_queue):
            self.dispatch(self.shards[number])
        if not self.sweep_timer_set and (self.requests or not self.watching):
            self.sweep_timer_set = True
            self.actions.append(api.SetTimer(0, SWEEP_INTERVAL_MS))
        return self.actions

    def listed(self, news: api.EndpointList) -> None:
        if news.kind is api.EndpointListKind.FAILED:
            self.watching, self.watch_backoff_ms = False, min(2 * self.watch_backoff_ms, WATCH_MAX_MS)
            self.next_watch_at_ms = self.now + self.watch_backoff_ms * (0.5 + self.random.random())
            return
        if news.kind is not api.EndpointListKind.CACHED:
            self.watching, self.watch_backoff_ms = True, WATCH_RETRY_MS
        if news.kind is not api.EndpointListKind.CHANGES:
            for view in self.endpoints.values():
                view.ready, view.removed = False, True
        stale: list[EndpointState] = []  # that have started anew
        for entry in news.endpoints:
            view = self.endpoints.get(entry.name) or EndpointState(entry, self.now)
            self.shards[view.shard].endpoints.pop(view.name, None)
            view.ready, view.shard = entry.status is api.EndpointStatus.READY, entry.shard
            view.removed = entry.status is api.EndpointStatus.REMOVED
            self.endpoints[view.name] = self.shards[view.shard].endpoints[view.name] = view
            if entry.started_at_ms and entry.started_at_ms > view.started_at_ms:
                view.begin_slow_start(entry.started_at_ms, self.now, self.random.random())
                view.concurrency_limit = Gradient2Limit(self.now)
                stale.append(view)
        # Guards against what was decided before and is written after, from whatever cause: connections that come up late. It
        # hurts by the time that the dial took: the request is placed anew.
        for view in [
            view for view in self.endpoints.values() if view.in_flight and (view in stale or not view.ready)
        ]:
            self.actions += [api.AbandonAttempt(*attempt) for attempt in view.in_flight]
        for view in [view for view in self.endpoints.values() if view.removed and not view.in_flight]:
            del self.endpoints[view.name], self.shards[view.shard].endpoints[view.name]
        for shard in self.shards.values():
            ready = any(node.ready for node in shard.endpoints.values())
            shard.without_ready_endpoint_since_ms = (
                None
                if ready
                else self.now
                if shard.without_ready_endpoint_since_ms is None
                else shard.without_ready_endpoint_since_ms
            )

    def take(self, request: api.Request) -> None:
        kind, now = self.classes[request.request_class], self.now
        plan = self.plans.get(request.plan) or api.Plan(request.plan, 1.0, 1.0, 0.0, 0.0)
        # An account is as old as this gateway: for a volume that is new to it, it has sent nothing since.
        volume = self.quotas.setdefault(request.volume, VolumeQuota(self.settings, plan, self.started_at_ms))
        volume.sharing_gateways = max(volume.sharing_gateways, request.sharing_gateways)
        volume.refill(now)
        held = self.requests[request.request_id] = PendingRequest(request, kind, volume, now)
        left = max(
            0.0, request.time_left_ms - 2 * self.settings.clock_tick_ms
        )  # a little early: the answer is owed by then
        held.deadline_ms = now + left
        # A client's second try counts from its first. A short time left does not tell it: clients may be in
        # a hurry; but what lasts longer than the first try could is somebody else's, for the same key.
        first = self.shed_requests.pop((request.volume, request.key), now)
        held.first_received_at_ms = first if now + request.time_left_ms <= first + kind.deadline_ms else now
        held.objective_at_ms = min(held.first_received_at_ms + kind.latency_objective_ms, held.deadline_ms)
        self.retry_budget.request_times.append(now)
        self.last_timer_id += 1
        self.deadline_timers[self.last_timer_id] = request.request_id
        self.actions.append(api.SetTimer(self.last_timer_id, left))
        self.place(held)

    def place(self, held: PendingRequest) -> None:
        """Queue a request at its shard; a new object where it is expected to be served soonest."""
        if held.request.shard < 0 and held.first_possible_execution is None:
            ready = [n for n in self.endpoints.values() if n.ready]
            nodes = [n for n in ready if n.suspected_since_ms is None] or ready
            # Of two at random: with the least of all, gateways that know alike would make a herd.
            two = self.random.sample(nodes, min(2, len(nodes)))
            warm = self.now - self.settings.slow_start_duration_ms
            best = min(
                two,
                key=lambda n: (n.started_at_ms > warm, len(n.in_flight) / n.concurrency_limit.limit),
                default=None,
            )
            held.shard = best.shard if best else -1
        shard = self.shards[held.shard]
        if held.request.shard >= 0:
            shard.quotas[held.request.volume] = held.quota
            held.quota.shards.add(held.request.shard)
        shard.queue[held.request.request_id] = held
        for node in shard.endpoints.values():
            node.concurrency_limit.divide_among(held.request.sharing_gateways, self.settings.gateway_count)
        self.shards_with_queue.add(held.shard)
        if self.hopeless(held, shard):
            self.close(held)

    def finish(self, held: PendingRequest) -> None:
        held.finished = True
        self.shards[held.shard].queue.pop(held.request.request_id, None)
        if not held.attempts_in_flight:
            self.requests.pop(held.request.request_id, None)

    def close(self, held: PendingRequest) -> None:
        refusal = api.ShedRequest(held.request.request_id, self.settings.max_retry_after_ms)
        answer = refusal if held.may_be_shed else api.FailRequest(held.request.request_id)
        self.actions.append(answer)
        self.shed_requests[held.request.volume, held.request.key or held.request.request_id] = (
            held.first_received_at_ms
        )
        self.finish(held)

    def ended(self, event: api.AttemptEnded) -> None:
        node, held, outcome = (
            self.endpoints.get(event.endpoint),
            self.requests.get(event.request_id),
            event.outcome,
        )
        if (
            node is None
            or held is None
            or node.in_flight.pop((event.request_id, event.attempt), None) is None
        ):
            return
        held.attempts_in_flight -= 1
        self.learn(node, held, event)
        if not outcome.proves_no_effect and held.first_possible_execution is None:
            held.first_possible_execution = held.attempts[event.attempt]
        # Guards against units that come long after they were taken, on top of what has filled since. It hurts by those.
        held.limit_charged = held.first_possible_execution is not None or outcome not in (
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.NOT_SENT,
        )
        if held.request_class.in_order and outcome in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        ):
            self.settling_keys[held.request.key] = self.now + self.settings.order_settle_ms
        if held.finished or event.request_finished:
            self.finish(held)
        elif outcome is AttemptOutcome.TIMED_OUT:
            self.close(held)
        else:
            self.place(held)

    def learn(self, node: EndpointState, held: PendingRequest, event: api.AttemptEnded) -> None:
        kind, volume, outcome, units = held.request_class, held.quota, event.outcome, held.request.units
        if outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.SHED):
            node.last_response_at_ms, sent = self.now, held.attempts[event.attempt][1]
            if node.suspected_since_ms is not None:
                usual = self.usual(held, node)
                self.recovered(node, sent > node.suspected_since_ms and event.latency_ms <= SURE * usual)
            if outcome is not AttemptOutcome.SHED:
                node.last_answered_sent_at_ms = max(node.last_answered_sent_at_ms, sent)
        late = (
            outcome is AttemptOutcome.TIMED_OUT
            and held.attempts[event.attempt][1] <= node.last_response_at_ms
        )  # with its age
        if outcome is AttemptOutcome.SERVED:
            self.shards[node.shard].record_served(
                self.now, units, self.now - node.started_at_ms >= self.settings.slow_start_duration_ms
            )
        if outcome is AttemptOutcome.SERVED or late:
            node.concurrency_limit.record(event.latency_ms, self.unit_cost_ms[kind.name] * units)
            calm = [
                NODE_PART
                * k.latency_objective_ms
                / self.unit_cost_ms[k.name]
                / self.settings.mean_request_units
                for k in self.settings.classes
            ]
            node.concurrency_limit.update(self.now, min(calm))
            if not late and node.concurrency_limit.short_ratio <= SURE * min(calm) / node.warmup_fraction(
                self.settings, self.now
            ):
                node.record_warmup_goodput(self.settings, self.now, units)
            lower = event.latency_ms / units < self.unit_cost_ms[kind.name]
            self.unit_cost_ms[kind.name] *= 1 + COST_GAIN * (COST_QUANTILE - lower)
        elif outcome is AttemptOutcome.SHED:
            node.concurrency_limit.limit = max(
                node.concurrency_limit.min_limit, node.concurrency_limit.limit * CLAMP
            )
        elif outcome in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECT_FAILED,
        ):  # a reset may be an answer lost on the way
            node.restart_suspected = node.restart_suspected or outcome is AttemptOutcome.CONNECT_FAILED
            self.suspect(node)
        if event.volume_usage_percent is not None:
            volume.total_units_per_s, volume.reported_at_ms = (
                volume.plan.expected_units_per_s * event.volume_usage_percent / 100,
                self.now,
            )
            volume.own_units_per_s_at_report += 0.5 * (
                volume.own_units_per_s - volume.own_units_per_s_at_report
            )

    def suspect(self, node: EndpointState) -> None:
        most = TRIAL_MAX_MS * node.concurrency_limit.sharing_gateways
        node.health_check_interval_ms = (
            TRIAL_MS * node.concurrency_limit.sharing_gateways
            if node.suspected_since_ms is None
            else min(most, 2 * node.health_check_interval_ms)
        )
        if node.suspected_since_ms is None:
            node.suspected_since_ms = self.now
            self.actions.append(api.LogMessage(f"{node.name} is suspect: single trials only"))
        node.next_health_check_at_ms = self.now + node.health_check_interval_ms * (0.5 + self.random.random())

    def usual(self, held: PendingRequest, node: EndpointState) -> float:
        """The latency that a request may expect of a node, by what it served of late."""
        return (
            self.unit_cost_ms[held.request_class.name]
            * held.request.units
            * max(1.0, node.concurrency_limit.short_ratio)
        )

    def recovered(self, node: EndpointState, prompt: bool) -> None:
        # Guards against restarts that the list tells late, told by connections failing for long or by
        # silence past all deadlines. It hurts where a partition healed: the node was warm all along.
        if self.now - (node.suspected_since_ms or self.now) > (
            self.silence_timeout_ms if node.restart_suspected else self.longest_deadline_ms
        ):
            node.begin_slow_start(self.now, self.now, self.random.random())
        # Guards against a window at its floor for answers that alone were lost: a prompt trial tells of no jam. It hurts
        # where only the trial was lucky, until the next step.
        size = max(
            node.concurrency_limit.limit,
            node.limit_before_suspicion if prompt and not node.restart_suspected else 0.0,
        )
        node.suspected_since_ms, node.restart_suspected = None, False
        node.concurrency_limit.limit = min(size, INITIAL_LIMIT / node.concurrency_limit.sharing_gateways)
        self.actions.append(api.LogMessage(f"{node.name} answers again"))

    def sweep(self) -> None:
        now = self.now
        self.shed_requests = {
            key: at for key, at in self.shed_requests.items() if now - at < self.longest_deadline_ms
        }
        self.settling_keys = {key: until for key, until in self.settling_keys.items() if until > now}
        if not self.watching and now >= self.next_watch_at_ms:
            self.actions.append(api.WatchEndpoints())
            self.next_watch_at_ms = now + WATCH_MAX_MS
        for held in [held for held in self.requests.values() if held.attempts_in_flight]:
            node, sent = held.attempts[-1]
            if (
                node.suspected_since_ms is None
                and now - max(node.last_response_at_ms, sent) > self.silence_timeout_ms
            ):
                # Guards against a jam that no answer tells of. It hurts where answers alone are lost.
                node.limit_before_suspicion, node.concurrency_limit.limit = (
                    node.concurrency_limit.limit,
                    node.concurrency_limit.min_limit,
                )
                self.suspect(node)
            # Guards against answers that are lost, or connections that fall silent, from whatever cause: the room
            # that such an attempt holds stands empty until its client's time is up. It hurts where a node serves out
            # of turn and one is long in work: that work is done again.
            overdue = sent < node.last_answered_sent_at_ms and now - sent >= LOST * self.usual(held, node)
            once = held.request_class.repeat_safety is RepeatSafety.AT_MOST_ONCE and not held.finished
            if (
                overdue
                and not once
                and self.settings.can_cancel_attempts
                and held.attempts_cancelled < len(held.attempts)
            ):
                held.attempts_cancelled = len(held.attempts)
                self.actions.append(api.CancelAttempt(held.request.request_id, held.attempts_cancelled - 1))
        for number in [number for number in self.shards_with_queue if not self.shards[number].queue]:
            self.shards[number].codels.clear()  # nothing stands there
            self.shards_with_queue.remove(number)
        lines = defaultdict[int, list[tuple[float, float, str, PendingRequest]]](list)
        for number in sorted(self.shards_with_queue):
            shard = self.shards[number]
            for held in [h for h in shard.queue.values() if self.hopeless(h, shard)]:
                self.close(held)
            if (ready := shard.active_endpoint()) is not None:
                for held in [
                    h for h in shard.queue.values() if h.quota.plan.limit_units_per_s and not h.limit_charged
                ]:
                    rank = (
                        -self.value(held, ready),
                        held.objective_at_ms,
                        held.request.request_id,
                    )  # as they would be sent
                    lines[id(held.quota)].append((*rank, held))
            for name, head in {
                held.request_class.name: held for held in reversed(shard.queue.values())
            }.items():
                codel = shard.codels.setdefault(name, CoDel(head.request_class.latency_objective_ms))
                if codel.should_drop(now, now - head.queued_at_ms) and head.may_be_shed:
                    self.close(head)
        for line in lines.values():
            self.beyond_limit([held for _, _, _, held in sorted(line) if not held.finished])

    def beyond_limit(self, line: list[PendingRequest]) -> None:
        """Give up what a volume's limit cannot take within its aim, with what is to go before it."""
        # Guards against a volume that asks for much more than its limit: what it holds here for a whole aim takes
        # its clients' connections, and this gateway's. It hurts by the worth of late answers.
        left = line[0].quota.limit_units if line else 0.0
        for held in line:
            fills = (
                held.quota.plan.limit_units_per_s
                / held.quota.sharing_gateways
                * max(0.0, held.objective_at_ms - self.now)
                / 1000
            )
            if left + fills < held.request.units:
                self.close(held)
            else:
                left -= held.request.units

    def value(self, held: PendingRequest, node: EndpointState) -> float:
        """Worth to be earned for each unit of node time: in the reserve, in the share, or beyond."""
        cfg, kind, plan, cost = (
            self.settings,
            held.request_class,
            held.quota.plan,
            self.unit_cost_ms[held.request_class.name],
        )
        held.quota.refill(self.now)
        # Beyond its reserve a volume is worth less the more of its usual rate it has had, for its weight.
        over = max(
            1.0,
            held.quota.own_units_per_s
            / held.quota.gateway_fraction
            / max(1.0, plan.reserved_units_per_s + plan.expected_units_per_s),
        )
        tier = (
            held.quota.reserved_units > 0
            or cfg.excess_priority_factor
            + (cfg.fair_share_priority_factor - cfg.excess_priority_factor) / over**2
        )
        need = SURE * cost * held.request.units * max(1.0, node.concurrency_limit.short_ratio)
        chance = min(1.0, max(0.0, held.objective_at_ms - self.now) / need)
        return kind.priority_weight * plan.priority_factor * chance * tier / cost

    def eligible(self, held: PendingRequest, node: EndpointState) -> bool:
        now, key = self.now, held.request.key
        waits = held.request_class.in_order and key and not held.attempts
        if waits:  # for the first of its key, in the order taken
            first = next(
                h for h in self.requests.values() if h.request_class.in_order and h.request.key == key
            )
            waits = first is not held or now < self.settling_keys.get(key, now)
        if waits or not held.may_be_sent_to(node, now):
            return False
        funded = (
            held.limit_charged
            or not held.quota.plan.limit_units_per_s
            or held.quota.limit_units >= held.request.units
        )
        return funded and (not held.attempts or self.retry_budget.allows(now))

    def hopeless(self, held: PendingRequest, shard: Shard) -> bool:
        """Whether waiting can earn no more. What is given up on is answered at once."""
        now, volume, units = self.now, held.quota, held.request.units
        # Guards against clients in a hurry: what cannot be done in its time left only takes others' time.
        spent = (
            len(held.attempts) >= self.settings.max_attempts
            or now + self.unit_cost_ms[held.request_class.name] * units >= held.deadline_ms
        )
        if volume.plan.limit_units_per_s and not held.limit_charged:
            fills = (
                (units - volume.limit_units) * volume.sharing_gateways / volume.plan.limit_units_per_s * 1000
            )
            spent = spent or volume.refilled_at_ms + fills >= held.deadline_ms
        if held.request.shard < 0 and held.first_possible_execution is None:
            return spent or not any(node.ready for node in self.endpoints.values())
        # Guards against shards whose node is gone for long: one is expected to stay away for as long again.
        # It hurts where the successor comes just then; the client is told to come back.
        if shard.without_ready_endpoint_since_ms is not None:
            return spent or now - shard.without_ready_endpoint_since_ms >= held.objective_at_ms - now
        codel = shard.codels.get(held.request_class.name)
        # Guards against node time for what is late already: had there been room, it would have gone within
        # its aim. It hurts where room comes just then, by the worth of a late answer.
        dropping = codel is not None and codel.drop_count > 0 and now >= held.objective_at_ms
        stale = held.may_be_shed and (
            dropping or now - held.queued_at_ms >= held.request_class.latency_objective_ms
        )
        may = any(node.ready and held.may_be_sent_to(node, now) for node in shard.endpoints.values())
        return spent or stale or not may

    @property
    def sharers(self) -> float:
        """How many gateways may use one shard, by how many shards this one uses."""
        # Guards against hundreds of gateways that each keep an even part of a cold node for all others, few of
        # which use it. It hurts at a shard that far more of them use than the usual one.
        stands = [bool(shard.quotas) for shard in self.shards.values() if shard.endpoints]
        unseen = max(0.0, 1 - (self.now - self.started_at_ms) / (FLOW_MS / 3))
        used = (sum(stands) + 1) / max(1, len(stands)) + unseen
        return max(1.0, self.settings.gateway_count * min(1.0, SHARERS * used))

    def dispatch(self, shard: Shard) -> None:
        """Send the most valuable held requests of a shard while its node has room."""
        queue, node, now = shard.queue, shard.active_endpoint(), self.now
        for held in [
            h for h in queue.values() if h.request.shard < 0 and (node is None or node.suspected_since_ms)
        ]:
            del queue[held.request.request_id]
            self.place(held)
        heads = {held.request_class.name: held for held in queue.values()}.values()
        idle = node is not None and node.suspected_since_ms is None and not node.in_flight
        if node is None or not (
            idle or any(node.has_capacity(now, head, self.class_shares) for head in heads)
        ):
            return
        for held in sorted(queue.values(), key=lambda h: (-self.value(h, node), h.objective_at_ms)):
            if node.has_capacity(now, held, self.class_shares) and self.eligible(held, node):
                if not node.admits_during_slow_start(
                    self.settings, now, held.request.units, shard.throughput_units_per_s, self.sharers
                ):
                    return
                self.send(held, node)

    def send(self, held: PendingRequest, node: EndpointState) -> None:
        now, request, volume, kind = self.now, held.request, held.quota, held.request_class
        del self.shards[held.shard].queue[request.request_id]
        if held.attempts:
            self.retry_budget.retry_times.append(now)
        else:
            volume.reserved_units = max(volume.reserved_units - request.units, -request.units)
            volume.own_units_per_s += request.units * 0.693 * 1000 / RATE_MS
        volume.limit_units, held.limit_charged = (
            volume.limit_units - request.units * (not held.limit_charged),
            True,
        )
        node.slow_start_credit_units, node.overdraft_fraction = (
            node.slow_start_credit_units - request.units,
            self.random.random(),
        )
        node.in_flight[(request.request_id, len(held.attempts))] = (now, kind.name)
        node.concurrency_limit.peak_in_flight = max(
            node.concurrency_limit.peak_in_flight, len(node.in_flight)
        )
        held.attempts.append((node, now))
        held.attempts_in_flight += 1
        if node.suspected_since_ms is not None:
            self.suspect(node)
        # Guards against a repeat that comes when the first is forgotten, whatever its way takes. It hurts by that attempt.
        by = (
            held.first_possible_execution[1] + kind.deduplication_window_ms - now
            if held.first_possible_execution and kind.repeat_safety is RepeatSafety.IDEMPOTENCY_KEY
            else 0.0
        )
        self.actions.append(api.StartAttempt(request.request_id, node.name, write_timeout_ms=by))
