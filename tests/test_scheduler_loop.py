"""The scheduler loop without sockets: batches, timers, every event in and every action out."""

from __future__ import annotations

import anyio
import pytest
from rig import played

from winchdyke import interface as api
from winchdyke.gateway.scheduler_loop import SchedulerLoop

SETTINGS = api.Settings(gateway_count=1, gateway_index=0, classes=(), plans=())


class Script:
    """A scheduler that records its batches and answers from a script."""

    def __init__(self, *_: object) -> None:
        self.batches: list[tuple[float, list[api.Event]]] = []
        self.answers: list[list[api.Action]] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append((now, events))
        return self.answers.pop(0) if self.answers else []


def make_loop() -> tuple[SchedulerLoop, Script, list[float]]:
    script, now = Script(), [1000.0]
    return SchedulerLoop(SETTINGS, 1, lambda *_: script, lambda: now[0]), script, now


def request(name: str) -> api.Request:
    return api.Request(name, "read", "p", "v", "k", 1.0, 0, 1, 500.0)


def test_every_kind_of_event_is_passed_to_the_scheduler_unchanged():
    loop, script, _ = make_loop()
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
    assert script.batches == [(1000.0, events)]
    loop.process_events()
    assert len(script.batches) == 1, "no event, no batch"


def test_due_timers_fire_in_order_of_time_in_one_batch():
    loop, script, now = make_loop()
    script.answers = [
        [api.SetTimer(7, 30.0), api.SetTimer(8, 10.0), api.SetTimer(9, 10.0), api.SetTimer(5, 90.0)]
    ]
    loop.post(api.ClientDisconnected("x"))
    loop.process_events()
    now[0] = 1031.0
    loop.process_events()
    assert script.batches[1] == (1031.0, [api.TimerFired(8), api.TimerFired(9), api.TimerFired(7)])
    now[0] = 1089.0
    loop.process_events()
    assert len(script.batches) == 2


def test_actions_reach_the_handle_of_their_request():
    loop, script, _ = make_loop()
    watched = []
    loop.on_watch_endpoints = lambda: watched.append(True)
    handles = {name: loop.submit(request(name)) for name in "abc"}
    cancelled = []
    handles["a"].on_cancel = cancelled.append
    abandoned = []
    handles["a"].on_abandon = abandoned.append
    script.answers = [
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
    assert (cancelled, abandoned, watched) == ([0], [0], [True])
    assert set(loop.open_requests) == {"a"}
    assert (handles["a"].attempts_in_flight, handles["b"].finished, handles["c"].finished) == (1, True, True)


def test_submitting_a_request_twice_raises_value_error():
    loop, _, _ = make_loop()
    loop.submit(request("a"))
    with pytest.raises(ValueError, match="is open already"):
        loop.submit(request("a"))


def test_a_client_that_disconnects_twice_is_reported_once():
    loop, script, _ = make_loop()
    handle = loop.submit(request("a"))
    loop.client_disconnected(handle)
    loop.client_disconnected(handle)
    loop.process_events()
    assert script.batches[0][1] == [request("a"), api.ClientDisconnected("a")]


def test_after_a_failure_the_next_scheduler_starts_with_the_endpoint_list_and_no_old_timers():
    class Once(Script):
        def handle(self, now, events):
            super().handle(now, events)
            if any(isinstance(event, api.ClientDisconnected) for event in events):
                raise RuntimeError("by design")
            return [api.SetTimer(1, 5.0)]

    schedulers: list[Once] = []

    def make(*_: object) -> Once:
        schedulers.append(Once())
        return schedulers[-1]

    now = [0.0]
    loop = SchedulerLoop(SETTINGS, 1, make, lambda: now[0])
    node = api.Endpoint("n", api.EndpointStatus.READY, 0)
    loop.post(api.EndpointList(api.EndpointListKind.FULL, (node,)))
    handle = loop.submit(request("a"))
    loop.process_events()
    loop.post(api.ClientDisconnected("nobody"))
    loop.process_events()
    assert list(handle.actions) == [api.FailRequest("a")]
    assert handle.override_reason == "engine-fault" and not loop.open_requests
    now[0] = 100.0
    loop.process_events()
    assert schedulers[1].batches == [(100.0, [api.EndpointList(api.EndpointListKind.CACHED, (node,))])]


def test_events_posted_together_share_a_batch_and_timers_wake_the_loop():
    @played
    async def run():
        script = Script()
        loop = SchedulerLoop(SETTINGS, 1, lambda *_: script)
        script.answers = [[api.SetTimer(3, 20.0)]]
        async with anyio.create_task_group() as group:
            group.start_soon(loop.run)
            await anyio.sleep(0.01)

            async def post(name: str) -> None:
                loop.post(api.ClientDisconnected(name))

            for name in "abc":
                group.start_soon(post, name)
            with anyio.fail_after(2):
                while len(script.batches) < 2:
                    await anyio.sleep(0.005)
            assert [len(events) for _, events in script.batches] == [3, 1]
            assert script.batches[1][1] == [api.TimerFired(3)]
            assert script.batches[1][0] - script.batches[0][0] >= 20.0
            group.cancel_scope.cancel()

    run()
