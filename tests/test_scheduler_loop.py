"""The scheduler loop without sockets: batches, timers, and each kind of event and action."""

from __future__ import annotations

from typing import get_args

import anyio
import pytest
from rig import run_async

from winchdyke import interface as api
from winchdyke.gateway.scheduler_loop import ACTION_COUNTERS, SchedulerLoop

SETTINGS = api.Settings(gateway_count=1, gateway_index=0, classes=(), plans=())


class PreparedScheduler:
    """A scheduler that records its batches and returns prepared actions."""

    def __init__(self, *_: object) -> None:
        self.batches: list[tuple[float, list[api.Event]]] = []
        self.prepared_actions: list[list[api.Action]] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append((now, events))
        return self.prepared_actions.pop(0) if self.prepared_actions else []


def make_loop() -> tuple[SchedulerLoop, PreparedScheduler, list[float]]:
    scheduler, now = PreparedScheduler(), [1000.0]
    return SchedulerLoop(SETTINGS, 1, lambda *_: scheduler, lambda: now[0]), scheduler, now


def request(name: str) -> api.Request:
    return api.Request(name, "read", "p", "v", "k", 1.0, 0, 1, 500.0)


def test_every_kind_of_event_is_passed_to_the_scheduler_unchanged():
    loop, scheduler, _ = make_loop()
    events: list[api.Event] = [
        *(api.EndpointList(kind) for kind in api.EndpointListKind),
        request("a"),
        api.StreamStarted("a", 0),
        api.AttemptEnded("a", 0, "n", api.AttemptOutcome.SERVED, 5.0, True, 80.0, 3.0, (0.5, 2.0)),
        api.ClientDisconnected("a"),
        api.HealthCheckEnded("n", api.AttemptOutcome.SERVED, 1.0, (0.1,)),
        api.PeerMessage(2, b"hello"),
    ]
    for event in events:
        loop.post(event)
    loop.process_events()
    assert scheduler.batches == [(1000.0, events)]
    loop.process_events()
    assert len(scheduler.batches) == 1, "a batch needs an event"


def test_due_timers_fire_in_order_of_time_in_one_batch():
    loop, scheduler, now = make_loop()
    scheduler.prepared_actions = [
        [api.SetTimer(7, 30.0), api.SetTimer(8, 10.0), api.SetTimer(9, 10.0), api.SetTimer(5, 90.0)]
    ]
    loop.post(api.ClientDisconnected("x"))
    loop.process_events()
    now[0] = 1031.0
    loop.process_events()
    assert scheduler.batches[1] == (1031.0, [api.TimerFired(8), api.TimerFired(9), api.TimerFired(7)])
    now[0] = 1089.0
    loop.process_events()
    assert len(scheduler.batches) == 2


def test_actions_reach_the_handle_of_their_request():
    loop, scheduler, _ = make_loop()
    watch_calls = []
    loop.on_watch_endpoints = lambda: watch_calls.append(True)
    handles = {name: loop.submit(request(name)) for name in "abc"}
    cancelled = []
    handles["a"].on_cancel = cancelled.append
    abandoned = []
    handles["a"].on_abandon = abandoned.append
    scheduler.prepared_actions = [
        [
            api.StartAttempt("a", "n1", 50.0),
            api.ShedRequest("b", 250.0),
            api.FailRequest("c"),
            api.CancelAttempt("a", 0),
            api.AbandonAttempt("a", 0),
            api.AbandonAttempt("nobody", 0),
            api.WatchEndpoints(),
            api.LogMessage("two known"),
            api.CancelAttempt("nobody", 0),
            api.StartAttempt("nobody", "n1"),
        ]
    ]
    loop.process_events()
    assert list(handles["a"].actions) == [api.StartAttempt("a", "n1", 50.0)]
    assert list(handles["b"].actions) == [api.ShedRequest("b", 250.0)]
    assert list(handles["c"].actions) == [api.FailRequest("c")]
    assert (cancelled, abandoned, watch_calls) == ([0], [0], [True])
    assert set(loop.open_requests) == {"a"}
    assert (handles["a"].attempts_in_flight, handles["b"].finished, handles["c"].finished) == (1, True, True)


def test_every_action_has_a_counter_of_its_own():
    assert set(ACTION_COUNTERS) == set(get_args(api.Action))
    assert len(set(ACTION_COUNTERS.values())) == len(ACTION_COUNTERS)


def test_submitting_a_request_twice_raises_value_error():
    loop, _, _ = make_loop()
    loop.submit(request("a"))
    with pytest.raises(ValueError, match="is open already"):
        loop.submit(request("a"))


def test_a_client_that_disconnects_twice_is_reported_once():
    loop, scheduler, _ = make_loop()
    handle = loop.submit(request("a"))
    loop.client_disconnected(handle)
    loop.client_disconnected(handle)
    loop.process_events()
    assert scheduler.batches[0][1] == [request("a"), api.ClientDisconnected("a")]


def test_after_a_failure_the_next_scheduler_starts_with_the_endpoint_list_and_no_old_timers():
    class FailingScheduler(PreparedScheduler):
        def handle(self, now, events):
            super().handle(now, events)
            if any(isinstance(event, api.ClientDisconnected) for event in events):
                raise RuntimeError("by design")
            return [api.SetTimer(1, 5.0)]

    schedulers: list[FailingScheduler] = []

    def make_scheduler(*_: object) -> FailingScheduler:
        schedulers.append(FailingScheduler())
        return schedulers[-1]

    now = [0.0]
    loop = SchedulerLoop(SETTINGS, 1, make_scheduler, lambda: now[0])
    endpoint = api.Endpoint("n", api.EndpointStatus.READY, 0)
    loop.post(api.EndpointList(api.EndpointListKind.FULL, (endpoint,)))
    handle = loop.submit(request("a"))
    loop.process_events()
    loop.post(api.ClientDisconnected("nobody"))
    loop.process_events()
    assert list(handle.actions) == [api.FailRequest("a")]
    assert handle.override_reason == "engine-fault" and not loop.open_requests
    now[0] = 100.0
    loop.process_events()
    assert schedulers[1].batches == [(100.0, [api.EndpointList(api.EndpointListKind.CACHED, (endpoint,))])]


def test_events_posted_together_share_a_batch_and_timers_wake_the_loop():
    @run_async
    async def run():
        scheduler = PreparedScheduler()
        loop = SchedulerLoop(SETTINGS, 1, lambda *_: scheduler)
        scheduler.prepared_actions = [[api.SetTimer(3, 20.0)]]
        async with anyio.create_task_group() as group:
            group.start_soon(loop.run)
            await anyio.sleep(0.01)

            async def post(name: str) -> None:
                loop.post(api.ClientDisconnected(name))

            for name in "abc":
                group.start_soon(post, name)
            with anyio.fail_after(2):
                while len(scheduler.batches) < 2:
                    await anyio.sleep(0.005)
            assert [len(events) for _, events in scheduler.batches] == [3, 1]
            assert scheduler.batches[1][1] == [api.TimerFired(3)]
            assert scheduler.batches[1][0] - scheduler.batches[0][0] >= 20.0
            group.cancel_scope.cancel()

    run()
