"""The SWIM protocol in virtual time, on a simulated network with loss, delays, duplicates and partitions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchdyke.membership import datagrams, events
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind, SwimMessage
from winchdyke.membership.events import LocalMember
from winchdyke.membership.probing import Probe, Prober
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.model.fleet import Fleet, Links


def converged_fleet(members: int, seed: int = 1, **options: object) -> Fleet:
    """Returns members whose views have converged."""
    fleet = Fleet(members, seed, **options)  # type: ignore[arg-type]
    fleet.run(1500.0)
    assert fleet.until_agreed(20_000.0) is not None, fleet.differences()
    return fleet


def transitions(fleet: Fleet, since: float, state: str, member: str = "") -> set[tuple[str, str]]:
    """Returns the (viewer, member) pairs whose state changed to ``state``."""
    return {
        (transition.viewer, transition.member)
        for transition in fleet.transitions
        if transition.at >= since and transition.state == state and member in ("", transition.member)
    }


def link_state(fleet: Fleet, viewer: str, member: str) -> str:
    """Returns the state of the link to a member, as the viewer sees it."""
    view = fleet.processes[viewer].protocol.view(fleet.now)
    return next(entry.link for entry in view.members if entry.name == member)


def longest_false_death_ms(fleet: Fleet, since: float) -> float:
    """Returns the longest time for which a view held a running member dead."""
    longest, dead_since = 0.0, dict[tuple[str, str], float]()
    for transition in [transition for transition in fleet.transitions if transition.at >= since]:
        viewer_and_member = transition.viewer, transition.member
        if transition.state == "dead" and transition.member in fleet.processes:
            dead_since[viewer_and_member] = transition.at
        elif viewer_and_member in dead_since:
            longest = max(longest, transition.at - dead_since.pop(viewer_and_member))
    return max([longest, *(fleet.now - at for at in dead_since.values())])


@pytest.mark.parametrize("members", [2, 3, 8, 24])
def test_a_killed_member_is_dead_in_every_view_within_the_stated_time(members):
    fleet = converged_fleet(members)
    fleet.kill("g1")
    detection_ms = fleet.until_agreed(60_000.0)
    assert detection_ms is not None and detection_ms <= fleet.config.detection_bound_ms(members)


def test_a_restart_within_one_probe_is_a_new_generation_and_no_death():
    fleet = converged_fleet(8)
    since, generation = fleet.now, fleet.processes["g3"].protocol.generation
    fleet.kill("g3")
    fleet.at(fleet.now + 200.0, lambda: fleet.start("g3"))
    fleet.run(fleet.now + 15_000.0)
    assert fleet.agreed() and not transitions(fleet, since, "dead")
    assert fleet.processes["g3"].protocol.generation > generation


def test_an_asymmetric_partition_kills_no_member_and_both_ends_know_the_link_state():
    """Messages pass from g1 to g0 but not back; indirect probes through g2 keep both alive."""
    fleet = converged_fleet(3)
    since = fleet.now
    fleet.links.cut = {("g0", "g1")}
    fleet.run(since + 60_000.0)
    assert not transitions(fleet, since, "dead") and not transitions(fleet, since, "suspect")
    assert link_state(fleet, "g0", "g1") == "deaf" and link_state(fleet, "g1", "g0") == "mute"
    fleet.links.cut = set()
    fleet.run(fleet.now + 10_000.0)
    assert link_state(fleet, "g0", "g1") == link_state(fleet, "g1", "g0") == "both"


def test_two_members_that_reach_each_other_only_through_a_third_stay_alive():
    fleet = converged_fleet(3)
    since = fleet.now
    fleet.links.cut = {("g0", "g1"), ("g1", "g0")}
    fleet.run(since + 60_000.0)
    assert not transitions(fleet, since, "dead") and link_state(fleet, "g0", "g1") == "cut"


@pytest.mark.parametrize("seed", range(5))
def test_twenty_percent_datagram_loss_for_ten_minutes_causes_no_death(seed):
    fleet = converged_fleet(8, seed)
    since = fleet.now
    fleet.links.loss = 0.2
    fleet.run(since + 600_000.0)
    assert not transitions(fleet, since, "dead")


def test_one_percent_clock_drift_causes_no_death_and_no_late_detection():
    """Timeouts run on the viewers' own clocks: a slow clock extends the bounds only by its drift."""
    drift = 0.01
    fleet = converged_fleet(8, 3, drift=drift)
    rates = [process.clock_rate for process in fleet.processes.values()]
    assert max(rates) - min(rates) > drift, "the clocks must differ in rate"
    fleet.links.loss = 0.2
    since = fleet.now
    fleet.run(since + 600_000.0)
    clocks = [process.clock(fleet.now) - fleet.now for process in fleet.processes.values()]
    assert max(clocks) - min(clocks) > 5_000.0, "the clocks have drifted apart by seconds"
    assert not transitions(fleet, since, "dead")
    fleet.links.loss = 0.0
    fleet.kill("g1")
    detection_ms = fleet.until_agreed(60_000.0)
    assert detection_ms is not None and detection_ms <= fleet.config.detection_bound_ms(8) / (1 - drift)


def test_loss_of_all_datagrams_or_of_all_streams_causes_no_death():
    fleet = converged_fleet(5)
    since = fleet.now
    fleet.links.datagrams = False
    fleet.run(since + 60_000.0)
    assert not transitions(fleet, since, "dead")
    fleet.links.datagrams, fleet.links.streams = True, False
    fleet.run(fleet.now + 60_000.0)
    assert not transitions(fleet, since, "dead")
    fleet.links.streams, fleet.links.large_lost = True, 300
    fleet.run(fleet.now + 60_000.0)
    assert not transitions(fleet, since, "dead")


def test_duplicated_and_delayed_datagrams_cause_no_death():
    fleet = converged_fleet(8)
    since = fleet.now
    fleet.links.copies, fleet.links.delay, fleet.links.tail = 0.3, (5.0, 20.0), 0.02
    fleet.run(since + 120_000.0)
    assert not transitions(fleet, since, "dead")
    assert sum(process.protocol.counts["replay"] for process in fleet.processes.values()) > 100


def test_a_member_paused_for_3_s_every_10_s_is_never_dead():
    fleet = converged_fleet(8)
    since = fleet.now
    for n in range(12):
        fleet.at(since + 10_000.0 * n, lambda: fleet.pause("g2", 3000.0))
    fleet.run(since + 120_000.0)
    assert not transitions(fleet, since, "dead")  # 3 s are shorter than any suspicion timeout
    g2_transitions = [
        transition
        for transition in fleet.transitions
        if transition.at >= since and transition.viewer == "g2" and transition.state in ("suspect", "dead")
    ]
    assert not [transition for transition in g2_transitions if transition.state == "dead"]


@pytest.mark.parametrize("length", [50.0, 1000.0, 5000.0, 60_000.0])
def test_a_paused_member_declares_no_member_dead_for_messages_it_missed(length):
    fleet = converged_fleet(8)
    since = fleet.now
    fleet.pause("g4", length)
    fleet.run(since + length + 20_000.0)
    assert not [
        transition
        for transition in fleet.transitions
        if transition.at >= since and transition.viewer == "g4" and transition.state == "dead"
    ]
    assert fleet.agreed(), fleet.differences()
    assert longest_false_death_ms(fleet, since) <= length


@pytest.mark.parametrize("interval", [50.0, 200.0, 1000.0])
def test_a_member_that_receives_nothing_detects_no_pause(interval):
    """With short intervals, the turn after a turn with a probe once looked late and was taken for a pause."""
    config = SwimConfig(
        probe_interval_ms=interval, probe_timeout_ms=0.4 * interval, min_pause_ms=max(50.0, interval / 4)
    )
    protocol = SwimProtocol(LocalMember("a", "at-a", "", 0, 1 << 16), config, 1, 0.0)
    now, reports = 0.0, list[events.Action]()
    silent = MemberRecord("b", "at-b", "", 1, 1 << 16, 0, int(MemberState.ALIVE))
    protocol.handle(
        now,
        [events.MessageReceived(SwimMessage("b", 1 << 16, 1, "", int(MessageKind.ACK), 1, "", -1, [silent]))],
    )
    while now < 60 * interval:
        now = protocol.next_turn_ms
        reports += [action for action in protocol.handle(now, []) if isinstance(action, events.ReportEvent)]
    assert protocol.pause_detector.pause_count == 0 and protocol.pause_detector.total_paused_ms == 0.0
    assert [report.code for report in reports if report.code in ("suspect", "dead")] == ["suspect", "dead"]
    protocol.handle(protocol.next_turn_ms + config.min_pause_ms, [])
    assert protocol.pause_detector.pause_count == 1, "a turn late by the minimum pause is detected"


def test_views_converge_after_all_members_but_one_were_paused():
    fleet = converged_fleet(8)
    since = fleet.now
    for name in fleet.names[1:]:
        fleet.pause(name, 5000.0)
    fleet.run(since + 5000.0)
    assert fleet.until_agreed(fleet.config.convergence_bound_ms(8)) is not None, fleet.differences()


def test_a_zone_partition_is_one_outage_on_both_sides_and_heals_at_a_bounded_rate():
    fleet = converged_fleet(24, zones=2)
    since, rate_at_rest = fleet.now, max(fleet.bytes_per_second(fleet.now - 5000, fleet.now))
    sides = [{n for n in fleet.names if fleet.zones[n] == zone} for zone in ("zone-0", "zone-1")]
    fleet.links.cut = {(a, b) for a in sides[0] for b in sides[1]} | {
        (b, a) for a in sides[0] for b in sides[1]
    }
    fleet.run(since + 20_000.0)
    for viewer, zone in (("g0", 1), ("g1", 0)):
        outage = fleet.processes[viewer].protocol.view(fleet.now).outage
        assert outage is not None and outage.zone == f"zone-{zone}", outage
        assert set(outage.members) == sides[zone] and "zone" in outage.description
    fleet.links.cut = set()
    healed = fleet.now
    assert fleet.until_agreed(fleet.config.convergence_bound_ms(24)) is not None, fleet.differences()[:3]
    fleet.run(fleet.now + 5000.0)
    assert max(fleet.bytes_per_second(healed, fleet.now)) < 20 * rate_at_rest + 20_000
    assert fleet.processes["g0"].protocol.view(fleet.now).outage is None


def test_seventy_percent_killed_at_once_are_detected_in_time():
    fleet = converged_fleet(20)
    for name in fleet.names[6:]:
        fleet.kill(name)
    since = fleet.now
    detection_ms = fleet.until_agreed(120_000.0)
    assert detection_ms is not None and detection_ms <= fleet.config.detection_bound_ms(20)
    outage = fleet.processes["g0"].protocol.view(fleet.now).outage
    assert outage is not None and len(outage.members) == 14 and outage.started_at_ms >= since


def test_views_converge_after_a_rolling_restart():
    fleet = converged_fleet(20)
    for n in range(10):
        for name in fleet.names[2 * n : 2 * n + 2]:
            fleet.at(fleet.now + 2000.0 * n, lambda name=name: fleet.leave(name))
            fleet.at(fleet.now + 2000.0 * n + 1000.0, lambda name=name: fleet.start(name))
    fleet.run(fleet.now + 20_000.0)
    assert fleet.until_agreed(fleet.config.convergence_bound_ms(20)) is not None, fleet.differences()[:3]


def test_views_converge_after_all_members_restart_at_once():
    fleet = converged_fleet(8)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    assert fleet.until_agreed(fleet.config.convergence_bound_ms(8)) is not None, fleet.differences()


def test_a_leave_reaches_all_members_before_the_process_ends():
    fleet = converged_fleet(8)
    fleet.leave("g5")
    fleet.run(fleet.now + 5000.0)
    views = [process.protocol.view(fleet.now) for process in fleet.processes.values()]
    assert all(
        next(member.state for member in view.members if member.name == "g5") == "left" for view in views
    )


def test_a_start_without_reachable_seeds_retries_at_a_bounded_rate():
    fleet = Fleet(2, 1, links=Links(datagrams=False, streams=False))
    fleet.run(120_000.0)
    protocol = fleet.processes["g0"].protocol
    assert protocol.view(fleet.now).is_isolated and protocol.counts["exchange-failed"] <= 120 / (0.5 * 10) + 6
    fleet.links = Links()
    assert fleet.until_agreed(2 * fleet.config.max_reconnect_backoff_ms) is not None


def test_a_new_process_joins_after_its_clock_was_set_back():
    fleet = converged_fleet(4)
    fleet.kill("g1")
    fleet.now += 100.0
    fleet.start("g1", clock=-900_000.0)
    assert fleet.until_agreed(30_000.0) is not None, fleet.differences()
    assert any(report.code == "renewed" for _, name, report in fleet.reports if name == "g1")


def new_protocol(config: SwimConfig | None = None, **fields: object) -> SwimProtocol:
    """Returns the protocol of member "a"."""
    local = LocalMember(
        **{
            "name": "a",
            "address": "at-a",
            "zone": "z",
            "index": 0,
            "generation": 10 << 16,
            "gateway_count": 4,
            **fields,
        }
    )  # type: ignore[arg-type]
    return SwimProtocol(local, config or SwimConfig(), 5, 0.0)


def record(
    name: str,
    state: MemberState = MemberState.ALIVE,
    generation: int = 1,
    incarnation: int = 0,
    reported_by: str = "",
) -> MemberRecord:
    return MemberRecord(name, f"at-{name}", "z", 1, generation, incarnation, int(state), reported_by)


class Peer:
    """Sends messages to a protocol in the name of one member."""

    def __init__(self, receiver: SwimProtocol, name: str = "b", generation: int = 1) -> None:
        self.receiver = receiver
        self.name = name
        self.generation = generation
        self.counter = 0
        self.now = 0.0

    def send(
        self,
        kind: MessageKind = MessageKind.PING,
        request_id: int = 1,
        other_records: list[MemberRecord] | None = None,
        **changes: object,
    ) -> list[events.Action]:
        self.counter += 1
        records = [record(self.name, generation=self.generation), *(other_records or [])]
        fields = {
            "sender": self.name,
            "generation": self.generation,
            "message_counter": self.counter,
            "recipient": "a",
            "kind": int(kind),
        }
        message = SwimMessage(**{**fields, "request_id": request_id, "records": records, **changes})  # type: ignore[arg-type]
        return self.receiver.handle(self.now, [events.MessageReceived(message, f"at-{self.name}")])

    def state(self, name: str) -> MemberState:
        return self.receiver.table.members[name].state

    def pass_time(self, until: float) -> list[events.Action]:
        actions = []
        while self.now < until:
            self.now = min(until, self.now + 50.0)
            actions += self.receiver.handle(self.now, [])
        return actions


def test_a_refutation_lost_five_times_is_sent_again():
    protocol = new_protocol()
    peer = Peer(protocol)
    for _ in range(5):
        actions = peer.send(
            other_records=[record("a", MemberState.SUSPECT, 10 << 16, protocol.incarnation, "b")]
        )
        own_records = [
            entry
            for action in actions
            if isinstance(action, events.SendDatagram)
            for entry in action.message.records
            if entry.name == "a"
        ]
        assert own_records and all(
            entry.incarnation == protocol.incarnation for entry in own_records
        )  # every message carries the refutation
    assert protocol.incarnation == 5 and protocol.counts["refuted"] == 5


def test_a_late_suspicion_of_an_earlier_generation_is_ignored():
    protocol = new_protocol()
    peer = Peer(protocol)
    peer.send(
        other_records=[record("a", MemberState.DEAD, (10 << 16) - 1, 7, "b"), record("c", generation=9)]
    )
    assert protocol.incarnation == 0 and protocol.counts["accused-earlier-life"] == 1
    peer.send(other_records=[record("c", MemberState.DEAD, 8, 99, "b")])
    assert peer.state("c") is MemberState.ALIVE


def test_exhausted_message_counters_and_incarnations_start_a_later_generation():
    protocol = new_protocol()
    peer = Peer(protocol)
    generation = protocol.generation
    peer.send(other_records=[record("a", MemberState.SUSPECT, generation, datagrams.MAX_INTEGER, "b")])
    assert protocol.generation > generation and protocol.incarnation == 0
    generation = protocol.generation
    protocol.context.message_counter = datagrams.MAX_INTEGER
    actions = peer.send()
    assert protocol.generation > generation
    assert all(
        action.message.message_counter < 100 for action in actions if isinstance(action, events.SendDatagram)
    )


def test_an_ack_from_another_member_does_not_keep_a_dead_one_alive():
    """An address may have passed to another member, or a member may answer for others: only the target's ack counts."""
    protocol = new_protocol(SwimConfig(indirect_probe_count=0))
    peer = Peer(protocol)
    peer.send(other_records=[record("c")])
    for _ in range(200):
        for action in peer.pass_time(peer.now + 100.0):
            if isinstance(action, events.SendDatagram) and action.message.kind == MessageKind.PING:
                peer.send(MessageKind.ACK, action.message.request_id)  # b answers, whatever the target
    assert peer.state("c") is MemberState.DEAD and peer.state("b") is MemberState.ALIVE


def test_a_datagram_for_another_recipient_is_not_answered():
    protocol = new_protocol()
    actions = Peer(protocol).send(recipient="x")
    assert protocol.counts["misaddressed"] == 1 and not [
        action
        for action in actions
        if isinstance(action, events.SendDatagram) and action.message.kind == MessageKind.ACK
    ]


def test_a_replayed_message_is_ignored():
    protocol = new_protocol()
    peer = Peer(protocol)
    peer.send(other_records=[record("c")])
    peer.counter = 0
    peer.send(other_records=[record("d")])
    assert "d" not in protocol.table.members and protocol.counts["replay"] == 1


def test_a_flood_of_valid_datagrams_is_dropped_past_its_rate():
    protocol = new_protocol()
    peer = Peer(protocol)
    answered = sum(isinstance(action, events.SendDatagram) for _ in range(3000) for action in peer.send())
    assert answered < 600 and protocol.counts["flood"] > 2000


def test_gossip_of_a_death_is_a_suspicion_where_direct_evidence_contradicts_it():
    protocol = new_protocol()
    peer, liar = Peer(protocol), Peer(protocol, "l")
    peer.send()
    liar.send(other_records=[record("b", MemberState.DEAD, 1, 0, "l")])
    assert peer.state("b") is MemberState.SUSPECT  # and alive again if b answers before the timeout
    actions = peer.send()
    records_of_b = [
        entry
        for action in actions
        if isinstance(action, events.SendDatagram)
        for entry in action.message.records
        if entry.name == "b"
    ]
    assert records_of_b and records_of_b[0].state == MemberState.SUSPECT
    for _ in range(40):
        peer.pass_time(peer.now + 500.0)
        peer.send()
    assert peer.state("b") is MemberState.ALIVE


def test_of_two_processes_with_one_name_the_earlier_reports_it_and_leaves():
    protocol = new_protocol()
    peer = Peer(protocol)
    other = MemberRecord("a", "at-elsewhere", "z", 0, 99 << 16, 0, int(MemberState.ALIVE), "")
    actions = peer.send(other_records=[other])
    pings = [
        action
        for action in actions
        if isinstance(action, events.SendDatagram) and action.address == "at-elsewhere"
    ]
    assert len(pings) == 1  # the record may be that of an earlier process, so its address is pinged
    later_process = Peer(protocol, "a", 99 << 16)
    actions = later_process.send(MessageKind.ACK, pings[0].message.request_id)
    assert [action for action in actions if isinstance(action, events.StopMembership)] and protocol.has_left
    assert not peer.send()  # no action follows after it has left


def test_a_later_generation_of_this_name_that_does_not_answer_belongs_to_an_earlier_process():
    protocol = new_protocol()
    peer = Peer(protocol)
    peer.send(
        other_records=[MemberRecord("a", "at-elsewhere", "z", 0, 99 << 16, 0, int(MemberState.ALIVE), "")]
    )
    peer.pass_time(5000.0)
    assert protocol.generation > 99 << 16 and not protocol.has_left


def test_an_index_that_the_settings_do_not_know_is_reported_and_shown():
    protocol = new_protocol()
    actions = Peer(protocol).send(other_records=[MemberRecord("x", "at-x", "z", 9, 1, 0, 0, "")])
    assert "index-unknown" in [action.code for action in actions if isinstance(action, events.ReportEvent)]
    assert (
        next(member.index_in_settings for member in protocol.view(0.0).members if member.name == "x") is False
    )


def test_a_member_is_sent_to_at_its_new_address_unless_the_settings_override_it():
    protocol = new_protocol(address_overrides=(("c", "by-settings"),))
    peer = Peer(protocol)
    peer.send(other_records=[record("c")])
    peer.send(other_records=[MemberRecord("c", "at-new", "z", 1, 2, 0, 0, "")])
    assert protocol.table.members["c"].record.address == "at-new"
    assert protocol.context.address_of(protocol.table.members["c"]) == "by-settings"


def test_the_member_table_is_bounded_and_counts_rejected_members():
    protocol = new_protocol(SwimConfig(max_members=10))
    Peer(protocol).send(other_records=[record(f"x{n}") for n in range(30)])
    assert len(protocol.table.members) == 10 and protocol.table.rejected_when_full == 21


def test_dead_members_are_removed_after_the_retention_time():
    protocol = new_protocol(SwimConfig(departed_retention_ms=60_000.0, indirect_probe_count=0))
    peer = Peer(protocol)
    peer.send(other_records=[record("c", MemberState.DEAD)])
    peer.pass_time(70_000.0)
    assert "c" not in protocol.table.members


def test_fifty_flapping_members_of_250_cost_a_bounded_rate_of_bytes():
    fleet = Fleet(250, 3, SwimConfig(state_exchange_interval_ms=60_000.0), start_ms=2000.0)
    fleet.run(12_000.0)
    for n in range(4):
        for name in fleet.names[200:]:
            fleet.at(12_000.0 + 2000.0 * n, lambda name=name: fleet.kill(name))
            fleet.at(13_000.0 + 2000.0 * n, lambda name=name: fleet.start(name))
    fleet.run(20_000.0)
    rates = fleet.bytes_per_second(12_000.0, 20_000.0)
    assert sum(rates) / 250 < 40_000 and fleet.largest_datagram <= datagrams.MAX_DATAGRAM_BYTES


KINDS = ["kill", "pause", "cut", "loss", "leave"]
FAULTS = st.tuples(st.sampled_from(KINDS), st.integers(0, 4), st.integers(0, 4), st.floats(200, 6000))


@pytest.mark.parametrize("letter", ["x", "\u00e9"])
def test_a_datagram_stays_under_its_bound_with_every_field_at_its_largest(letter):
    """A record that fits in no datagram must not block the records behind it in the queue."""
    size = len(letter.encode())
    name = letter * (64 // size)
    max_integer = datagrams.MAX_INTEGER
    protocol = new_protocol(name=name, address=name, zone=name, generation=max_integer - 5, index=65535)
    protocol.context.incarnation = max_integer
    protocol.context.message_counter = max_integer - 1000
    peer = Peer(protocol, name="b", generation=max_integer)
    records = [
        MemberRecord(
            f"{n:02d}{letter * (62 // size)}", name, name, 65535, max_integer, max_integer, n % 3, name
        )
        for n in range(20)
    ]
    seen_names: set[str] = set()
    for turn in range(80):
        for action in [
            *peer.send(request_id=max_integer - turn, other_records=records, recipient="", target=name),
            *peer.pass_time(peer.now + 1000.0),
        ]:
            if isinstance(action, events.SendDatagram):
                data = datagrams.seal(action.message, b"k" * 32)
                assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
                assert datagrams.unseal(data, [b"k" * 32]) == action.message
                seen_names |= {entry.name for entry in action.message.records}
    assert len(seen_names) >= 20


class SilentRefutation(Refutation):
    """Ignores records about this member."""

    def handle_record(self, record: MemberRecord, reporter: str) -> None:
        pass


class WithoutRefutation(SwimProtocol):
    """A member that does not refute suspicions of itself."""

    refutation_type = SilentRefutation


class DirectProber(Prober):
    """Sends no ping-req and does not contact targets over TCP."""

    def request_indirect_probes(self, probe: Probe) -> None:
        pass


class WithoutIndirectProbes(SwimProtocol):
    """A member that probes directly only."""

    prober_type = DirectProber


class WithoutPauseDetection(SwimProtocol):
    """A member that treats messages missed during a pause as silence."""

    def _handle_pause(self, paused_ms: float) -> None:
        pass


def test_the_checks_detect_each_removed_defence():
    """Without refutation, indirect probes or pause detection the checks of these tests must fail."""

    def harm(make: type[SwimProtocol], fault: str) -> float:
        """Returns the longest time in ms for which a view held a running member dead; with "pauses", g2's suspicions."""
        fleet = converged_fleet(8, make=make)
        since = fleet.now
        if fault == "pauses":
            fleet.links.delay = (100.0, 50.0)
            for n in range(10):
                fleet.at(since + 20_150.0 * n, lambda: fleet.pause("g2", 13_000.0, drops_messages=True))
        else:
            unreachable_from = ("g0", "g2", "g3", "g4") if fault == "deaf" else ("g0", "g2", "g3", "g4", "g5")
            fleet.links.cut = {(a, "g1") for a in unreachable_from} | {("g1", a) for a in unreachable_from}
            fleet.links.loss = 0.0 if fault == "deaf" else 0.35
        fleet.run(since + 200_000.0)
        if fault == "pauses":
            return float(len([pair for pair in transitions(fleet, since, "suspect") if pair[0] == "g2"]))
        return longest_false_death_ms(fleet, since)

    assert harm(SwimProtocol, "deaf") == 0 < harm(WithoutIndirectProbes, "deaf")
    assert harm(SwimProtocol, "deaf and loss") < 15_000 < 60_000 < harm(WithoutRefutation, "deaf and loss")
    assert harm(SwimProtocol, "pauses") == 0 < harm(WithoutPauseDetection, "pauses")


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000), st.lists(FAULTS, max_size=8))
def test_views_converge_after_any_faults_are_over(seed, faults):
    fleet = converged_fleet(5, seed)
    for kind, one, other, duration_ms in faults:
        a, b = fleet.names[one], fleet.names[other]
        if kind in ("kill", "leave"):
            (fleet.kill if kind == "kill" else fleet.leave)(a)
            fleet.at(fleet.now + duration_ms, lambda a=a: fleet.start(a))
        elif kind == "pause":
            fleet.pause(a, duration_ms)
        elif kind == "cut":
            fleet.links.cut = {*fleet.links.cut, (a, b)}
        else:
            fleet.links.loss = min(0.6, duration_ms / 10_000)
        fleet.run(fleet.now + duration_ms / 2)
    fleet.links = Links()
    fleet.run(fleet.now + 6000.0)
    assert fleet.until_agreed(fleet.config.convergence_bound_ms(5)) is not None, fleet.differences()
