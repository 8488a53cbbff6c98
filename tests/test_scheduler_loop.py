"""The engine without sockets: batches, timers, every event in and every action out."""

from __future__ import annotations

import anyio
import pytest
from rig import played

from winchdyke import interface as api
from winchdyke.gateway.scheduler_loop import SchedulerLoop

SETTINGS = api.Settings(gateway_count=1, gateway_index=0, classes=(), plans=())


class Script:
    """A scheduler that notes its batches and answers from a script."""

    def __init__(self, *_: object) -> None:
        self.batches: list[tuple[float, list[api.Event]]] = []
        self.answers: list[list[api.Action]] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append((now, events))
        return self.answers.pop(0) if self.answers else []


def made() -> tuple[SchedulerLoop, Script, list[float]]:
    script, now = Script(), [1000.0]
    return SchedulerLoop(SETTINGS, 1, lambda *_: script, lambda: now[0]), script, now


def request(name: str) -> api.Request:
    return api.Request(name, "read", "p", "v", "k", 1.0, 0, 1, 500.0)


def test_every_kind_of_event_is_handed_over_as_it_came():
    engine, script, _ = made()
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
        engine.post(event)
    engine.process_events()
    assert script.batches == [(1000.0, events)]
    engine.process_events()
    assert len(script.batches) == 1, "nothing came: nothing to decide"


def test_timers_fire_in_order_of_time_all_that_are_due_in_one_batch():
    engine, script, now = made()
    script.answers = [
        [api.SetTimer(7, 30.0), api.SetTimer(8, 10.0), api.SetTimer(9, 10.0), api.SetTimer(5, 90.0)]
    ]
    engine.post(api.ClientDisconnected("x"))
    engine.process_events()
    now[0] = 1031.0
    engine.process_events()
    assert script.batches[1] == (1031.0, [api.TimerFired(8), api.TimerFired(9), api.TimerFired(7)])
    now[0] = 1089.0
    engine.process_events()
    assert len(script.batches) == 2


def test_actions_reach_whoever_holds_the_request():
    engine, script, _ = made()
    watched = []
    engine.on_watch_endpoints = lambda: watched.append(True)
    tickets = {name: engine.submit(request(name)) for name in "abc"}
    cancelled = []
    tickets["a"].on_cancel = cancelled.append
    called_off = []
    tickets["a"].on_abandon = called_off.append
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
    engine.process_events()
    assert list(tickets["a"].actions) == [api.StartAttempt("a", "n1", 50.0)]
    assert list(tickets["b"].actions) == [api.ShedRequest("b", 250.0)]
    assert list(tickets["c"].actions) == [api.FailRequest("c")]
    assert (cancelled, called_off, watched) == ([0], [0], [True])
    assert set(engine.open_requests) == {"a"}
    assert (tickets["a"].attempts_in_flight, tickets["b"].finished, tickets["c"].finished) == (1, True, True)


def test_a_request_taken_twice_is_an_error_of_the_caller():
    engine, _, _ = made()
    engine.submit(request("a"))
    with pytest.raises(ValueError, match="held already"):
        engine.submit(request("a"))


def test_a_client_that_goes_twice_is_told_once():
    engine, script, _ = made()
    ticket = engine.submit(request("a"))
    engine.client_disconnected(ticket)
    engine.client_disconnected(ticket)
    engine.process_events()
    assert script.batches[0][1] == [request("a"), api.ClientDisconnected("a")]


def test_after_a_fault_the_next_scheduler_starts_with_the_list_and_no_old_timers():
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
    engine = SchedulerLoop(SETTINGS, 1, make, lambda: now[0])
    node = api.Endpoint("n", api.EndpointStatus.READY, 0)
    engine.post(api.EndpointList(api.EndpointListKind.FULL, (node,)))
    ticket = engine.submit(request("a"))
    engine.process_events()
    engine.post(api.ClientDisconnected("nobody"))
    engine.process_events()
    assert list(ticket.actions) == [api.FailRequest("a")]
    assert ticket.override_reason == "engine-fault" and not engine.open_requests
    now[0] = 100.0
    engine.process_events()
    assert schedulers[1].batches == [(100.0, [api.EndpointList(api.EndpointListKind.CACHED, (node,))])]


def test_what_comes_together_is_decided_together_and_timers_wake_it():
    @played
    async def run():
        script = Script()
        engine = SchedulerLoop(SETTINGS, 1, lambda *_: script)
        script.answers = [[api.SetTimer(3, 20.0)]]
        async with anyio.create_task_group() as group:
            group.start_soon(engine.run)
            await anyio.sleep(0.01)

            async def post(name: str) -> None:
                engine.post(api.ClientDisconnected(name))

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
