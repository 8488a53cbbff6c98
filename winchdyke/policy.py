"""Every decision of the scheduler; its types, events and actions are in ``winchdyke/interface.py``.

A request is held until its node has room: Gradient2 windows, class shares, CoDel. See ``docs/design.md``.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque

from winchdyke import interface as api
from winchdyke.interface import Effect, Outcome, Scope

# Gradient2: the window of requests out at one node.
START, FLOOR, CEILING = 4.0, 1.0, 16.0  # several; one keeps latency heard; half the design's top
FEW = 6  # gateways that may each go by these figures: with more, all their floors end at so many requests
INTERVAL_MS, MIN_SAMPLES = 500.0, 3  # of a step: some ten service times, and enough to judge by
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
SWEEP_MS = 25.0  # between looks at what only time changes: well under any aim
WATCH_RETRY_MS, WATCH_MAX_MS = 500.0, 8000.0  # after a failed list call, doubling: one service serves all
RATE_MS, FLOW_MS = 1500.0, 15000.0  # half-lives: near the second that plans count in; of a shard's flow


class Window:
    """Gradient2: how many requests may be out at a node, learnt from the latency of served attempts."""

    def __init__(self, now: float) -> None:
        self.crowd, self.floor = 1.0, FLOOR  # gateways that share its figures
        self.size, self.peak, self.due, self.samples = START, 0, now + INTERVAL_MS, 0
        self.latency = self.expected = self.long = 0.0
        self.short = 1.0  # latency over expected work, so that big requests do not read as overload

    def share(self, gateways: int, fleet: int) -> None:
        # Guards against many gateways at one node, each with few requests: against a jam that their windows
        # keep up when nodes slow down or die, demand jumps, or latency rises from any other cause. A volume's
        # gateways tell who is likely to send. It hurts where the others are idle, until the window has grown.
        crowd = max(self.crowd, min(gateways, fleet / FEW))
        self.size, self.crowd = self.size * self.crowd / crowd, crowd
        self.floor = FLOOR / max(1.0, fleet / FEW)

    def sample(self, latency: float, expected: float) -> None:
        gain = 1 - (1 - SHORT_GAIN) ** self.crowd if self.expected else 1.0
        self.latency += gain * (max(latency, 1e-6) - self.latency)
        self.expected += gain * (expected - self.expected)
        self.short = self.latency / self.expected
        self.long += (1 - (1 - LONG_GAIN) ** self.crowd if self.long else 1.0) * (self.short - self.long)
        self.samples += 1

    def step(self, now: float, normal: float) -> None:
        if now < self.due or self.samples < MIN_SAMPLES / self.crowd:
            return
        # Guards against congestion learnt as normal, from whatever cause. It hurts where a node is slow for
        # good: its window stays at the floor, though nothing stands behind its latency.
        self.long = min(self.long, normal)
        gradient = min(1.0, max(CLAMP, TOLERANCE * self.long / self.short))
        # The root step fades with the gradient: at a window of 4 it would otherwise outweigh the deepest cut.
        fade = (gradient - CLAMP) / (1 - CLAMP) * (2 * self.peak >= self.size)
        gain = SMOOTHING ** (1 / self.crowd)  # where many share a node steps are rare: more of each at once
        self.size += gain * (self.size * gradient + fade * (self.size / self.crowd) ** 0.5 - self.size)
        self.size = min(CEILING / self.crowd, max(self.floor, self.size))
        self.due, self.samples, self.peak = now + INTERVAL_MS, 0, 0


class CoDel:
    """RFC 8289 for one class at one shard: stale requests go, ever faster while the queue stands."""

    def __init__(self, aim: float) -> None:
        self.target, self.interval = TARGET * aim, CODEL_INTERVAL * aim
        self.next, self.count = -1.0, 0

    def drops(self, now: float, sojourn: float) -> bool:
        if sojourn < self.target:
            self.next, self.count = -1.0, 0
        elif self.next < 0:
            self.next = now + self.interval
        elif now >= self.next:
            self.count += 1
            self.next += self.interval / self.count**0.5
            return True
        return False


class Budget:
    """The attempts beyond a request's first that one gateway may make in any window."""

    def __init__(self, cfg: api.Settings) -> None:
        self.cfg, self.taken, self.extra = cfg, deque[float](), deque[float]()

    def allows(self, now: float) -> bool:
        cfg, since = self.cfg, now - self.cfg.extra_window_ms
        for times, first in ((self.taken, since), (self.extra, since - cfg.tick_ms)):
            while times and times[0] <= first:
                times.popleft()
        most = cfg.extra_free + cfg.extra_share * len(self.taken)
        return not cfg.extra_window_ms or len(self.extra) + 1 <= most


class Volume:
    """A volume's account: its reserve, its use here and elsewhere, and this gateway's part of its limit."""

    def __init__(self, cfg: api.Settings, plan: api.Plan, now: float) -> None:
        self.cfg, self.plan, self.at, self.gateways = cfg, plan, now, 1
        self.own = self.metered = self.total = 0.0  # units a second: sent now, when the meter ran, everywhere
        self.told, self.part = -1e18, 1.0
        self.shards = set[int]()  # that it was asked for at, here
        # Both stores begin empty: a gateway that was killed cannot know what it or others just spent.
        self.reserve = self.limit = 0.0

    def refill(self, now: float) -> None:
        seconds, plan, self.part = (now - self.at) / 1000, self.plan, 1.0 / self.gateways
        if now - self.told < 2 * RATE_MS:
            seen = (self.metered + self.part) / (max(self.total, self.metered) + 1.0)
            self.part = min(1.0, max(self.part / 2 if self.gateways > 1 else 1.0, seen))
        self.own, self.at = self.own * 0.5 ** (seconds * 1000 / RATE_MS), now
        most = (plan.reserve + self.cfg.largest_units) * self.part
        self.reserve = min(most, self.reserve + plan.reserve * self.part * seconds)
        self.limit = min(plan.limit_burst / self.gateways, self.limit + plan.limit / self.gateways * seconds)


class Held:
    """A request that this gateway has taken, until it is finished and its attempts have ended."""

    def __init__(self, request: api.Request, kind: api.RequestClass, volume: Volume, now: float) -> None:
        self.request, self.kind, self.volume, self.at = request, kind, volume, now
        self.shard, self.first, self.aim, self.end = request.shard, now, now, now
        self.sent: list[tuple[NodeView, float]] = []
        self.out = self.off = 0  # attempts out; how many there had been when the last was called off
        self.paid = False  # whether its limit's units are taken by an attempt that may have come to its node
        self.maybe: tuple[NodeView, float] | None = None  # the first attempt that may have run
        self.done = False

    def may_go_to(self, node: NodeView, now: float) -> bool:
        """The repeat rule: never two out, and only where a repeat does no harm."""
        if self.out or self.maybe is None or self.kind.effect is Effect.IDEMPOTENT:
            return not self.out
        first, sent = self.maybe
        group = {Scope.ALL: True, Scope.ZONE: first.zone == node.zone, Scope.CELL: first.shard == node.shard}
        fresh = now < sent + self.kind.memory_ms
        return fresh and self.kind.effect is Effect.KEYED and group[self.kind.scope]

    @property
    def refusable(self) -> bool:
        everywhere = self.kind.effect is Effect.KEYED and self.kind.scope is Scope.ALL
        return everywhere or self.kind.effect is Effect.IDEMPOTENT or (self.maybe is None and not self.out)


class NodeView:
    """What this gateway knows of a node: the list's word, its window, its health and its warm-up."""

    def __init__(self, entry: api.Node, now: float) -> None:
        self.name, self.shard, self.zone, self.ready = entry.name, entry.shard, entry.zone, False
        self.window, self.heard, self.born = Window(now), now, -1e18
        self.out: dict[tuple[str, int], tuple[float, str]] = {}
        self.lost: float | None = None  # since when it has been suspect
        self.before = START  # the window when silence made it suspect
        self.reached = -1e18  # when the latest attempt that it answered was sent
        self.restarted = False  # a failed connection was seen since
        self.gone = False  # no list names it any more
        self.trial = self.gap = self.credit = 0.0
        self.proved, self.proved_at = 0.0, now  # units that it served in good time while cold, fading
        self.phase = 1.0  # of a request that overdraws the credit: the part of it to be saved up first
        self.credit_at = now

    def start(self, born: float, now: float, phase: float) -> None:
        """Be cold; what others sent a moment ago is not known, so nothing is saved up."""
        self.born, self.credit, self.credit_at, self.lost, self.phase = born, 0.0, now, None, phase
        self.proved = 0.0

    def able(self, cfg: api.Settings, now: float) -> float:
        """The part of its power that it has by now, at the least."""
        grown = (1 - cfg.cold_from) * max(0.0, now - self.born) / max(1.0, cfg.warm_after_ms)
        return min(1.0, cfg.cold_from + grown)

    def prove(self, cfg: api.Settings, now: float, units: float) -> None:
        fade: float = 0.5 ** ((now - self.proved_at) / max(1.0, cfg.fall_window_ms))  # longer, it lags
        self.proved, self.proved_at = self.proved * fade + units, now

    def bears(self, cfg: api.Settings, now: float, units: float, flow: float, sharers: float) -> bool:
        """Whether a node may be sent so much: a cold one has this gateway's part of the rule's units."""
        able = self.able(cfg, now)
        if not cfg.fall_window_ms or able >= 1:
            return True
        # Guards against power that stands idle long after it is back: an even part of the stated units is
        # next to nothing where few of many gateways use the node. What each was served there adds up to no
        # more than its shard could do, and what the node itself served in good time to no more than it can
        # do now. It hurts where the successor is less than half as strong.
        self.prove(cfg, now, 0.0)
        shown = max(able * flow * cfg.fall_window_ms / 1000, 0.693 * self.proved)
        learnt = COLD_PART * cfg.fall_multiple * shown
        even = able * cfg.cold_units / sharers / cfg.cold_from
        part = max(even, learnt)
        grown = max(even * (1 - COLD_BURST), learnt) * (now - self.credit_at) / cfg.fall_window_ms
        # One larger than the part overdraws, at a moment spread over the time that the part needs for it, or
        # all gateways that hear of a start would do so at once.
        need = min(units, max(part * COLD_BURST, self.phase * units))
        self.credit, self.credit_at = min(max(part * COLD_BURST, need), self.credit + grown), now
        return self.credit >= need

    def room(self, now: float, held: Held, shares: dict[str, float]) -> bool:
        """Room in the window; a full one still takes a class that is under its firm share of it."""
        if self.lost is not None:
            return now >= self.trial
        if self.window.size < 1:
            # Kept by a pause after each answer; what is in its reserve, and in time, does not wait it out.
            promised = held.volume.reserve > 0 and self.window.latency < held.aim - now
            over = now - self.heard >= self.window.latency * (1 / self.window.size - 1)
            return not self.out and (promised or over)
        if len(self.out) < int(self.window.size):
            return True
        mine = sum(name == held.kind.name for _, name in self.out.values())
        return mine < int(self.window.size * shares[held.kind.name]) and len(self.out) < CEILING


class Shard:
    """A shard: its nodes, what is held for it, and what this gateway has sent it."""

    def __init__(self) -> None:
        self.nodes, self.queue = dict[str, NodeView](), dict[str, Held]()
        self.codels = dict[str, CoDel]()
        self.volumes = dict[str, Volume]()  # that were asked for here
        self.bare: float | None = -1e18  # since when it has no ready node
        self.units = self.span = self.at = 0.0  # served here by warm nodes, and in what time; fading

    def served(self, now: float, units: float, warm: bool) -> None:
        if warm and self.at:
            fade = 0.5 ** ((now - self.at) / FLOW_MS)
            self.units, self.span = self.units * fade + units, self.span * fade + now - self.at
        self.at = now

    @property
    def flow(self) -> float:
        """Units a second that this gateway was served, over a short time only a part of it; or its usual part."""
        # Guards against cold nodes that nobody uses because nobody has used their shards yet: gateways that have
        # just started. It hurts where the usual rates are more than the nodes were made for.
        usual = sum(v.plan.usual_rate / v.gateways / len(v.shards) for v in self.volumes.values())
        return max(usual, 1000 * self.units / max(self.span, FLOW_MS / 3))

    def node(self) -> NodeView | None:
        """The node that serves it now; of several, the one that came up last."""
        ready = [node for node in self.nodes.values() if node.ready]
        return max(ready, key=lambda node: (node.lost is None, node.born), default=None)


class Scheduler:
    """One gateway's decisions: hand it each batch of events with the time, and carry out what it returns."""

    def __init__(self, cfg: api.Settings, seed: int, now: float) -> None:
        self.cfg, self.now, self.random = cfg, now, random.Random(seed)
        self.kinds, self.plans = {k.name: k for k in cfg.classes}, {p.name: p for p in cfg.plans}
        worth = sum(k.worth for k in cfg.classes) or 1.0
        self.shares = {k.name: k.worth / worth for k in cfg.classes}
        self.silence = SILENT_AIMS * min((k.aim_ms for k in cfg.classes), default=0.0)
        self.longest = max((k.deadline_ms for k in cfg.classes), default=0.0)
        # ms of work for each unit, by class; until it is learnt, a part of the class's aim
        self.cost = {k.name: NODE_PART / 2 * k.aim_ms / cfg.mean_units for k in cfg.classes}
        self.nodes, self.volumes = dict[str, NodeView](), dict[str, Volume]()
        self.requests, self.tags = dict[str, Held](), dict[int, str]()
        self.refused: dict[tuple[str, str], float] = {}  # when what was refused first came, by volume and key
        self.shards = defaultdict[int, Shard](Shard)
        self.waiting: set[int] = set()  # shards at which requests are held
        self.rest: dict[str, float] = {}  # until when keys rest after an attempt that may still run
        self.budget = Budget(cfg)
        self.tag, self.watching, self.watch_at, self.watch_gap = 1, not cfg.must_ask, now, WATCH_RETRY_MS
        self.began = now
        self.swept = False
        self.actions: list[api.Action] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.actions, sweep = now, [], not self.nodes
        for event in events:
            if isinstance(event, api.Request):
                self.take(event)
            elif isinstance(event, api.AttemptEnded):
                self.ended(event)
            elif isinstance(event, api.NodeList):
                self.listed(event)
            elif isinstance(event, api.TimerFired):
                if not event.tag:
                    sweep, self.swept = True, False
                held = self.requests.get(self.tags.pop(event.tag, ""))
                if held and not held.done and not held.out:
                    self.close(held)
            elif isinstance(event, api.ClientGone) and event.request in self.requests:
                held = self.requests[event.request]
                self.finish(held)
                if held.out:
                    self.actions.append(api.CallOff(event.request, len(held.sent) - 1))
        if sweep:
            self.sweep()
        for number in sorted(self.waiting):
            self.dispatch(self.shards[number])
        if not self.swept and (self.requests or not self.watching):
            self.swept = True
            self.actions.append(api.SetTimer(0, SWEEP_MS))
        return self.actions

    def listed(self, news: api.NodeList) -> None:
        if news.kind is api.ListKind.FAILED:
            self.watching, self.watch_gap = False, min(2 * self.watch_gap, WATCH_MAX_MS)
            self.watch_at = self.now + self.watch_gap * (0.5 + self.random.random())
            return
        if news.kind is not api.ListKind.CACHED:
            self.watching, self.watch_gap = True, WATCH_RETRY_MS
        if news.kind is not api.ListKind.CHANGES:
            for view in self.nodes.values():
                view.ready, view.gone = False, True
        stale: list[NodeView] = []  # that have started anew
        for entry in news.nodes:
            view = self.nodes.get(entry.name) or NodeView(entry, self.now)
            self.shards[view.shard].nodes.pop(view.name, None)
            view.ready, view.shard = entry.state is api.NodeState.READY, entry.shard
            view.gone = entry.state is api.NodeState.GONE
            self.nodes[view.name] = self.shards[view.shard].nodes[view.name] = view
            if entry.started_ms and entry.started_ms > view.born:
                view.start(entry.started_ms, self.now, self.random.random())
                view.window = Window(self.now)
                stale.append(view)
        # Guards against what was decided before and is written after, from whatever cause: connections that come up late. It
        # hurts by the time that the dial took: the request is placed anew.
        for view in [view for view in self.nodes.values() if view.out and (view in stale or not view.ready)]:
            self.actions += [api.CallOff(*attempt) for attempt in view.out]
        for view in [view for view in self.nodes.values() if view.gone and not view.out]:
            del self.nodes[view.name], self.shards[view.shard].nodes[view.name]
        for shard in self.shards.values():
            ready = any(node.ready for node in shard.nodes.values())
            shard.bare = None if ready else self.now if shard.bare is None else shard.bare

    def take(self, request: api.Request) -> None:
        kind, now = self.kinds[request.class_name], self.now
        plan = self.plans.get(request.plan) or api.Plan(request.plan, 1.0, 1.0, 0.0, 0.0)
        # An account is as old as this gateway: for a volume that is new to it, it has sent nothing since.
        volume = self.volumes.setdefault(request.volume, Volume(self.cfg, plan, self.began))
        volume.gateways = max(volume.gateways, request.gateways)
        volume.refill(now)
        held = self.requests[request.id] = Held(request, kind, volume, now)
        left = max(0.0, request.left_ms - 2 * self.cfg.tick_ms)  # a little early: the answer is owed by then
        held.end = now + left
        # A client's second try counts from its first. A short time left does not tell it: clients may be in
        # a hurry; but what lasts longer than the first try could is somebody else's, for the same key.
        first = self.refused.pop((request.volume, request.key), now)
        held.first = first if now + request.left_ms <= first + kind.deadline_ms else now
        held.aim = min(held.first + kind.aim_ms, held.end)
        self.budget.taken.append(now)
        self.tag += 1
        self.tags[self.tag] = request.id
        self.actions.append(api.SetTimer(self.tag, left))
        self.place(held)

    def place(self, held: Held) -> None:
        """Queue a request at its shard; a new object where it is expected to be served soonest."""
        if held.request.shard < 0 and held.maybe is None:
            ready = [n for n in self.nodes.values() if n.ready]
            nodes = [n for n in ready if n.lost is None] or ready
            # Of two at random: with the least of all, gateways that know alike would make a herd.
            two = self.random.sample(nodes, min(2, len(nodes)))
            warm = self.now - self.cfg.warm_after_ms
            best = min(two, key=lambda n: (n.born > warm, len(n.out) / n.window.size), default=None)
            held.shard = best.shard if best else -1
        shard = self.shards[held.shard]
        if held.request.shard >= 0:
            shard.volumes[held.request.volume] = held.volume
            held.volume.shards.add(held.request.shard)
        shard.queue[held.request.id] = held
        for node in shard.nodes.values():
            node.window.share(held.request.gateways, self.cfg.gateways)
        self.waiting.add(held.shard)
        if self.hopeless(held, shard):
            self.close(held)

    def finish(self, held: Held) -> None:
        held.done = True
        self.shards[held.shard].queue.pop(held.request.id, None)
        if not held.out:
            self.requests.pop(held.request.id, None)

    def close(self, held: Held) -> None:
        refusal = api.Refuse(held.request.id, self.cfg.max_retry_after_ms)
        answer = refusal if held.refusable else api.Fail(held.request.id)
        self.actions.append(answer)
        self.refused[held.request.volume, held.request.key or held.request.id] = held.first
        self.finish(held)

    def ended(self, event: api.AttemptEnded) -> None:
        node, held, outcome = self.nodes.get(event.node), self.requests.get(event.request), event.outcome
        if node is None or held is None or node.out.pop((event.request, event.attempt), None) is None:
            return
        held.out -= 1
        self.learn(node, held, event)
        if not outcome.never_ran and held.maybe is None:
            held.maybe = held.sent[event.attempt]
        # Guards against units that come long after they were taken, on top of what has filled since. It hurts by those.
        held.paid = held.maybe is not None or outcome not in (Outcome.DIAL_FAILED, Outcome.UNSENT)
        if held.kind.in_order and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.rest[held.request.key] = self.now + self.cfg.settle_ms
        if held.done or event.closed:
            self.finish(held)
        elif outcome is Outcome.TIMED_OUT:
            self.close(held)
        else:
            self.place(held)

    def learn(self, node: NodeView, held: Held, event: api.AttemptEnded) -> None:
        kind, volume, outcome, units = held.kind, held.volume, event.outcome, held.request.units
        if outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.SHED):
            node.heard, sent = self.now, held.sent[event.attempt][1]
            if node.lost is not None:
                usual = self.usual(held, node)
                self.recovered(node, sent > node.lost and event.latency_ms <= SURE * usual)
            if outcome is not Outcome.SHED:
                node.reached = max(node.reached, sent)
        late = outcome is Outcome.TIMED_OUT and held.sent[event.attempt][1] <= node.heard  # with its age
        if outcome is Outcome.SERVED:
            self.shards[node.shard].served(self.now, units, self.now - node.born >= self.cfg.warm_after_ms)
        if outcome is Outcome.SERVED or late:
            node.window.sample(event.latency_ms, self.cost[kind.name] * units)
            calm = [NODE_PART * k.aim_ms / self.cost[k.name] / self.cfg.mean_units for k in self.cfg.classes]
            node.window.step(self.now, min(calm))
            if not late and node.window.short <= SURE * min(calm) / node.able(self.cfg, self.now):
                node.prove(self.cfg, self.now, units)
            lower = event.latency_ms / units < self.cost[kind.name]
            self.cost[kind.name] *= 1 + COST_GAIN * (COST_QUANTILE - lower)
        elif outcome is Outcome.SHED:
            node.window.size = max(node.window.floor, node.window.size * CLAMP)
        elif outcome in (Outcome.TIMED_OUT, Outcome.DIAL_FAILED):  # a reset may be an answer lost on the way
            node.restarted = node.restarted or outcome is Outcome.DIAL_FAILED
            self.suspect(node)
        if event.used_percent is not None:
            volume.total, volume.told = volume.plan.usual_rate * event.used_percent / 100, self.now
            volume.metered += 0.5 * (volume.own - volume.metered)

    def suspect(self, node: NodeView) -> None:
        most = TRIAL_MAX_MS * node.window.crowd
        node.gap = TRIAL_MS * node.window.crowd if node.lost is None else min(most, 2 * node.gap)
        if node.lost is None:
            node.lost = self.now
            self.actions.append(api.Log(f"{node.name} is suspect: single trials only"))
        node.trial = self.now + node.gap * (0.5 + self.random.random())

    def usual(self, held: Held, node: NodeView) -> float:
        """The latency that a request may expect of a node, by what it served of late."""
        return self.cost[held.kind.name] * held.request.units * max(1.0, node.window.short)

    def recovered(self, node: NodeView, prompt: bool) -> None:
        # Guards against restarts that the list tells late, told by connections failing for long or by
        # silence past all deadlines. It hurts where a partition healed: the node was warm all along.
        if self.now - (node.lost or self.now) > (self.silence if node.restarted else self.longest):
            node.start(self.now, self.now, self.random.random())
        # Guards against a window at its floor for answers that alone were lost: a prompt trial tells of no jam. It hurts
        # where only the trial was lucky, until the next step.
        size = max(node.window.size, node.before if prompt and not node.restarted else 0.0)
        node.lost, node.restarted = None, False
        node.window.size = min(size, START / node.window.crowd)
        self.actions.append(api.Log(f"{node.name} answers again"))

    def sweep(self) -> None:
        now = self.now
        self.refused = {key: at for key, at in self.refused.items() if now - at < self.longest}
        self.rest = {key: until for key, until in self.rest.items() if until > now}
        if not self.watching and now >= self.watch_at:
            self.actions.append(api.WatchList())
            self.watch_at = now + WATCH_MAX_MS
        for held in [held for held in self.requests.values() if held.out]:
            node, sent = held.sent[-1]
            if node.lost is None and now - max(node.heard, sent) > self.silence:
                # Guards against a jam that no answer tells of. It hurts where answers alone are lost.
                node.before, node.window.size = node.window.size, node.window.floor
                self.suspect(node)
            # Guards against answers that are lost, or connections that fall silent, from whatever cause: the room
            # that such an attempt holds stands empty until its client's time is up. It hurts where a node serves out
            # of turn and one is long in work: that work is done again.
            overdue = sent < node.reached and now - sent >= LOST * self.usual(held, node)
            once = held.kind.effect is Effect.AT_MOST_ONCE and not held.done
            if overdue and not once and self.cfg.may_cancel and held.off < len(held.sent):
                held.off = len(held.sent)
                self.actions.append(api.Cancel(held.request.id, held.off - 1))
        for number in [number for number in self.waiting if not self.shards[number].queue]:
            self.shards[number].codels.clear()  # nothing stands there
            self.waiting.remove(number)
        lines = defaultdict[int, list[tuple[float, float, str, Held]]](list)
        for number in sorted(self.waiting):
            shard = self.shards[number]
            for held in [h for h in shard.queue.values() if self.hopeless(h, shard)]:
                self.close(held)
            if (ready := shard.node()) is not None:
                for held in [h for h in shard.queue.values() if h.volume.plan.limit and not h.paid]:
                    rank = (-self.value(held, ready), held.aim, held.request.id)  # as they would be sent
                    lines[id(held.volume)].append((*rank, held))
            for name, head in {held.kind.name: held for held in reversed(shard.queue.values())}.items():
                codel = shard.codels.setdefault(name, CoDel(head.kind.aim_ms))
                if codel.drops(now, now - head.at) and head.refusable:
                    self.close(head)
        for line in lines.values():
            self.beyond_limit([held for _, _, _, held in sorted(line) if not held.done])

    def beyond_limit(self, line: list[Held]) -> None:
        """Give up what a volume's limit cannot take within its aim, with what is to go before it."""
        # Guards against a volume that asks for much more than its limit: what it holds here for a whole aim takes
        # its clients' connections, and this gateway's. It hurts by the worth of late answers.
        left = line[0].volume.limit if line else 0.0
        for held in line:
            fills = held.volume.plan.limit / held.volume.gateways * max(0.0, held.aim - self.now) / 1000
            if left + fills < held.request.units:
                self.close(held)
            else:
                left -= held.request.units

    def value(self, held: Held, node: NodeView) -> float:
        """Worth to be earned for each unit of node time: in the reserve, in the share, or beyond."""
        cfg, kind, plan, cost = self.cfg, held.kind, held.volume.plan, self.cost[held.kind.name]
        held.volume.refill(self.now)
        # Beyond its reserve a volume is worth less the more of its usual rate it has had, for its weight.
        over = max(1.0, held.volume.own / held.volume.part / max(1.0, plan.reserve + plan.usual_rate))
        tier = held.volume.reserve > 0 or cfg.idle_worth + (cfg.fair_worth - cfg.idle_worth) / over**2
        need = SURE * cost * held.request.units * max(1.0, node.window.short)
        chance = min(1.0, max(0.0, held.aim - self.now) / need)
        return kind.worth * plan.worth_factor * chance * tier / cost

    def eligible(self, held: Held, node: NodeView) -> bool:
        now, key = self.now, held.request.key
        waits = held.kind.in_order and key and not held.sent
        if waits:  # for the first of its key, in the order taken
            first = next(h for h in self.requests.values() if h.kind.in_order and h.request.key == key)
            waits = first is not held or now < self.rest.get(key, now)
        if waits or not held.may_go_to(node, now):
            return False
        funded = held.paid or not held.volume.plan.limit or held.volume.limit >= held.request.units
        return funded and (not held.sent or self.budget.allows(now))

    def hopeless(self, held: Held, shard: Shard) -> bool:
        """Whether waiting can earn no more. What is given up on is answered at once."""
        now, volume, units = self.now, held.volume, held.request.units
        # Guards against clients in a hurry: what cannot be done in its time left only takes others' time.
        spent = len(held.sent) >= self.cfg.max_attempts or now + self.cost[held.kind.name] * units >= held.end
        if volume.plan.limit and not held.paid:
            fills = (units - volume.limit) * volume.gateways / volume.plan.limit * 1000
            spent = spent or volume.at + fills >= held.end
        if held.request.shard < 0 and held.maybe is None:
            return spent or not any(node.ready for node in self.nodes.values())
        # Guards against shards whose node is gone for long: one is expected to stay away for as long again.
        # It hurts where the successor comes just then; the client is told to come back.
        if shard.bare is not None:
            return spent or now - shard.bare >= held.aim - now
        codel = shard.codels.get(held.kind.name)
        # Guards against node time for what is late already: had there been room, it would have gone within
        # its aim. It hurts where room comes just then, by the worth of a late answer.
        dropping = codel is not None and codel.count > 0 and now >= held.aim
        stale = held.refusable and (dropping or now - held.at >= held.kind.aim_ms)
        may = any(node.ready and held.may_go_to(node, now) for node in shard.nodes.values())
        return spent or stale or not may

    @property
    def sharers(self) -> float:
        """How many gateways may use one shard, by how many shards this one uses."""
        # Guards against hundreds of gateways that each keep an even part of a cold node for all others, few of
        # which use it. It hurts at a shard that far more of them use than the usual one.
        stands = [bool(shard.volumes) for shard in self.shards.values() if shard.nodes]
        unseen = max(0.0, 1 - (self.now - self.began) / (FLOW_MS / 3))
        used = (sum(stands) + 1) / max(1, len(stands)) + unseen
        return max(1.0, self.cfg.gateways * min(1.0, SHARERS * used))

    def dispatch(self, shard: Shard) -> None:
        """Send the most valuable held requests of a shard while its node has room."""
        queue, node, now = shard.queue, shard.node(), self.now
        for held in [h for h in queue.values() if h.request.shard < 0 and (node is None or node.lost)]:
            del queue[held.request.id]
            self.place(held)
        heads = {held.kind.name: held for held in queue.values()}.values()
        idle = node is not None and node.lost is None and not node.out
        if node is None or not (idle or any(node.room(now, head, self.shares) for head in heads)):
            return
        for held in sorted(queue.values(), key=lambda h: (-self.value(h, node), h.aim)):
            if node.room(now, held, self.shares) and self.eligible(held, node):
                if not node.bears(self.cfg, now, held.request.units, shard.flow, self.sharers):
                    return
                self.send(held, node)

    def send(self, held: Held, node: NodeView) -> None:
        now, request, volume, kind = self.now, held.request, held.volume, held.kind
        del self.shards[held.shard].queue[request.id]
        if held.sent:
            self.budget.extra.append(now)
        else:
            volume.reserve = max(volume.reserve - request.units, -request.units)
            volume.own += request.units * 0.693 * 1000 / RATE_MS
        volume.limit, held.paid = volume.limit - request.units * (not held.paid), True
        node.credit, node.phase = node.credit - request.units, self.random.random()
        node.out[(request.id, len(held.sent))] = (now, kind.name)
        node.window.peak = max(node.window.peak, len(node.out))
        held.sent.append((node, now))
        held.out += 1
        if node.lost is not None:
            self.suspect(node)
        # Guards against a repeat that comes when the first is forgotten, whatever its way takes. It hurts by that attempt.
        by = held.maybe[1] + kind.memory_ms - now if held.maybe and kind.effect is Effect.KEYED else 0.0
        self.actions.append(api.Send(request.id, node.name, write_ms=by))
