"""Configuration changes under failures: kills at every step, full disks, damaged files, clock skew, repeated undos, shutdowns."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import random
import sqlite3
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import get_args

import anyio
import anyio.to_thread
import pytest
from host import measured
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from rig import rig, run_async, settings

from benchmarks import kills
from winchdyke.config import parse
from winchdyke.config.model import Admin, Changes
from winchdyke.config_rollout import last_known_good
from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError
from winchdyke.config_rollout.cutover import (
    EffectiveConfig,
    Phase,
    limits_differ,
    phase_at,
    with_lower_limits,
)
from winchdyke.config_rollout.edit import config_text, set_values
from winchdyke.config_rollout.operations import (
    ChangeOperations,
    Log,
    Operation,
    OperationError,
    Propose,
    Set,
    Show,
    Stage,
    Status,
    Undo,
    Verify,
    Withdraw,
    operation_name,
    parse_operation,
)
from winchdyke.config_rollout.rollout_state import ON_HOLD_MS, Step
from winchdyke.gateway.daemon import Gateway
from winchdyke.model.checker import explore
from winchdyke.model.instant import CutoverModel


def with_changes(folder, **more):
    return dataclasses.replace(settings(), changes=Changes(str(folder), **more), admin=Admin("none"))


def operations_of(it) -> ChangeOperations:
    return ChangeOperations(it.gateway.rollout.change_log, "ann", "here")


async def execute(it, operation):
    return await anyio.to_thread.run_sync(operations_of(it).execute, operation)


async def stage_change(it, kind: str, name: str, *values: str, **more) -> int:
    made = await execute(it, Set(kind, name, list(values)))
    await execute(it, Stage(made["version"], **more))
    return made["version"]


async def wait_until_served(it, version: int) -> None:
    await it.wait_until(lambda: it.gateway.service.snapshot.version == version, 15)
    await it.wait_until(lambda: it.gateway.rollout.change_log.state().serving == version, 15)


def steps_of(it) -> list[tuple[str, int]]:
    return [(entry.action, entry.version) for entry in it.gateway.rollout.change_log.entries()]


# Killed at every step, on real processes

GATEWAY_WITH_KILL = """
import os, sys
left = int(sys.argv[1])
def step(call):
    def done(*words, **more):
        global left
        left -= 1
        if not left: os._exit(9)
        found = call(*words, **more)
        left -= 1
        if not left: os._exit(9)
        return found
    return done
from winchdyke.config_rollout.change_log import ChangeLog
from winchdyke.gateway.daemon import Gateway
ChangeLog.append_all, ChangeLog.add_version = step(ChangeLog.append_all), step(ChangeLog.add_version)
Gateway._swap = step(Gateway._swap)
from winchdyke.cli.main import main
main(["serve", "-c", sys.argv[2]])
"""
KILL_POINTS = 10


def apply_with_kill(folder, point: int, within: float) -> tuple[int, set[int], int, list[str]]:
    """Apply version 2 and kill the gateway before or after the nth step, then start it again.

    Returns the version being applied at the kill, the versions served after the start, the one served last, and all actions.
    """
    folder.mkdir()
    made = kills.KillRounds(folder, 0)
    change_log = ChangeLog(folder / "changes")
    base = settings()
    text = (folder / "g.ini").read_text()
    base = parse(text, "g.ini")
    first = change_log.add_version(config_text(base), 0, "[]", "gateway", "", "")
    change_log.append_all([(Step(what, first), "") for what in ("staged", "applying", "applied")], "gateway")
    operations = ChangeOperations(change_log, "ann", "here")
    operations.execute(Set("plan", "school", ["weight=7"]))
    operations.execute(Stage(2, confirm_within_ms=within))
    process = subprocess.Popen(
        [sys.executable, "-c", GATEWAY_WITH_KILL, str(point), str(folder / "g.ini")],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
    )  # fmt: skip
    with contextlib.suppress(subprocess.TimeoutExpired):
        process.wait(4)
    process.kill()
    process.wait()
    left = change_log.state()
    again = made.start()
    assert again is not None, (folder / "log").read_text()
    try:
        seen = {made.version() for _ in range(3)}
        time.sleep(0.6)
        last = made.version()
    finally:
        again.kill()
        again.wait()
    assert change_log.verify() == []
    return left.applying, seen, last, [entry.action for entry in change_log.entries()]


@pytest.mark.parametrize("within", [0.0, 60_000.0])
def test_after_a_kill_before_or_after_any_step_of_an_apply_one_complete_version_is_served(tmp_path, within):
    with ThreadPoolExecutor(4) as pool:
        runs = list(
            pool.map(
                lambda point: apply_with_kill(tmp_path / str(point), point, within), range(1, KILL_POINTS + 1)
            )
        )
    for applying, seen, last, steps in runs:
        standing = 1 if "undone" in steps and steps[-1] in ("undone", "ready") else 2
        assert seen <= {1, 2} and last == standing, (applying, seen, last, steps)
        if applying:
            assert last == 1 and seen == {1}, "an interrupted apply is not served"
    assert {last for _, _, last, _ in runs} == {1, 2}, "some kills came before the apply, some during it"
    assert any(applying for applying, *_ in runs)


def test_gateways_killed_at_random_points_of_change_cycles_lose_no_change_and_start_again(tmp_path):
    """benchmarks/kills.py runs the same with 500 kills."""
    found = kills.run(tmp_path, 3, int(os.environ.get("CHANGE_KILLS", "4")))
    assert found.faults == [] and found.counts["kills"] >= 4


# Undos


def test_an_undo_withdraws_a_newer_staged_version_and_an_undo_of_the_undo_returns_to_the_newer_one(tmp_path):
    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            await stage_change(it, "plan", "school", "weight=6")
            await wait_until_served(it, 2)
            await stage_change(it, "plan", "basic", "weight=8", hold=True)
            await it.wait_until(lambda: ("ready", 3) in steps_of(it))
            assert (await execute(it, Status()))["held"]
            assert (await execute(it, Undo(why="too much")))["withdrawn"] == 3
            await wait_until_served(it, 1)
            await anyio.sleep(0.3)
            assert it.gateway.service.snapshot.version == 1 and ("applying", 3) not in steps_of(it)
            await execute(it, Undo())
            await wait_until_served(it, 2)
            await execute(it, Undo())
            await wait_until_served(it, 1)
            # Version 3 was made from the undone version 2: merged, it contains none of version 2's changes.
            found = await execute(it, Stage(3))
            await wait_until_served(it, found["version"])
            plans = {
                plan.name: plan.fair_share_weight
                for plan in it.gateway.scheduler_loop._scheduler.settings.plans
            }
            base = {plan.name: plan.fair_share_weight for plan in settings().plans}
            assert plans == base | {"basic": 8.0}

    run()


def test_an_automatic_undo_is_not_reverted_by_a_version_that_was_staged_on_top_of_the_undone_one(tmp_path):
    """The staged version contains the undone change, and must not be applied as it is right after the undo."""

    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            await stage_change(it, "plan", "school", "weight=6", confirm_within_ms=900.0)
            await wait_until_served(it, 2)
            await stage_change(it, "plan", "basic", "weight=8", at_ms=time.time() * 1000 + 1500)
            await wait_until_served(it, 1)
            await it.wait_until(lambda: ("refused", 3) in steps_of(it))
            assert (
                "apply it again"
                in next(e for e in it.gateway.rollout.change_log.entries() if e.action == "refused").note
            )
            assert it.gateway.service.snapshot.version == 1

    run()


def test_a_start_completes_an_interrupted_undo(tmp_path):
    change_log = ChangeLog(tmp_path)
    base = settings()
    for number in (1, 2):
        change_log.add_version(config_text(base), number - 1, "[]", "a", "", "")
        change_log.append_all(
            [(Step(what, number), "") for what in ("staged", "applying", "applied")], "gateway"
        )
    change_log.append(Step("undoing", 1), "gateway", "version 2 does harm")

    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            assert it.gateway.service.snapshot.version == 1

    run()
    assert "being undone" in change_log.entries()[-1].note


# Disks and files


def fill_disk_after(change_log: ChangeLog, writes: int):
    """Make the disk of a change log full after some transactions; SQLite itself reports the error."""
    opened = ChangeLog._connect
    left = [writes]

    @contextlib.contextmanager
    def filled(self):
        with opened(self) as db:
            if left[0] <= 0:
                pages = db.execute("PRAGMA page_count").fetchone()[0]
                db.execute(f"PRAGMA max_page_count = {pages}")
                db.execute("CREATE TEMP TRIGGER IF NOT EXISTS filled BEFORE INSERT ON main.trail BEGIN "
                           "INSERT INTO versions VALUES (NULL, 0, hex(zeroblob(300000)), ''); END")  # fmt: skip
            yield db

    adding = ChangeLog.append_all

    def counted(self, *words, **more):
        adding(self, *words, **more)
        left[0] -= 1

    change_log._connect = filled.__get__(change_log)  # type: ignore[method-assign]
    change_log.append_all = counted.__get__(change_log)  # type: ignore[method-assign]
    return left


@pytest.mark.parametrize("writes", [0, 1])
def test_a_full_disk_leaves_the_old_version_in_service_and_no_partial_change(tmp_path, writes):
    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            rollout = it.gateway.rollout
            other = ChangeOperations(
                ChangeLog(tmp_path), "ann", "here"
            )  # a connection of its own, without the page limit
            other.execute(Set("plan", "school", ["weight=6"]))
            left = fill_disk_after(rollout.change_log, writes)
            other.execute(Stage(2))
            await anyio.sleep(0.8)
            assert it.gateway.service.snapshot.version == 1
            weights = {
                plan.name: plan.fair_share_weight
                for plan in it.gateway.scheduler_loop._scheduler.settings.plans
            }
            assert weights == {plan.name: plan.fair_share_weight for plan in settings().plans}
            assert (await it.request("GET", "/school-1/k")).headers["winchdyke-version"] == "1"
            assert other.change_log.verify() == []
            with pytest.raises(ChangeLogError, match="full"):
                rollout.change_log.append(Step("ready", 2), "x")
            left[0] = 1000
            if writes:
                await it.wait_until(lambda: ("undone", 1) in steps_of(it))
                assert "could not be recorded" in other.change_log.entries()[-1].note
            else:
                await wait_until_served(it, 2)
            assert other.change_log.verify() == []

    run()


def test_a_version_is_rolled_back_even_if_the_disk_is_full(tmp_path):
    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            await stage_change(it, "plan", "school", "weight=6", confirm_within_ms=400.0)
            await wait_until_served(it, 2)
            left = fill_disk_after(it.gateway.rollout.change_log, 0)
            await it.wait_until(lambda: it.gateway.service.snapshot.version == 1)
            assert ChangeLog(tmp_path).state().serving == 2
            left[0] = 1000
            await wait_until_served(it, 1)
            assert ("undone", 1) in steps_of(it)

    run()


def test_damage_at_any_byte_of_the_change_log_is_detected_and_the_last_known_good_version_is_served(tmp_path):
    whole = tmp_path / "whole"
    change_log = ChangeLog(whole)
    base = settings()
    texts = {1: config_text(base), 2: set_values(base, "plan", "school", ["weight=6"])}
    for number, text in texts.items():
        change_log.add_version(text, number - 1, '[{"path": "x"}]', "ann", "why", "here")
        change_log.append_all(
            [(Step(what, number), "note") for what in ("staged", "applying", "applied")], "gateway"
        )
    last_known_good.save(whole, 2, texts[2])
    with sqlite3.connect(change_log.path) as db:
        db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    entries, data = change_log.entries(), change_log.path.read_bytes()
    draw = random.Random(5)
    places = [*range(0, 110), *(draw.randrange(len(data)) for _ in range(190))]
    told = 0
    for number, place in enumerate(places):
        folder = tmp_path / str(number)
        folder.mkdir()
        damaged = bytearray(data)
        damaged[place] ^= draw.randrange(1, 256)
        (folder / "changes.db").write_bytes(damaged)
        (folder / last_known_good.SERVED_FILE).write_bytes((whole / last_known_good.SERVED_FILE).read_bytes())
        try:
            found, why = last_known_good.open_change_log(folder)
        except ChangeLogError as error:
            assert "newer one" in str(error), "a file of a later format is not set aside"
            continue
        told += bool(why)
        standing = found.state()
        assert standing.serving == 2 and found.version(2).text == texts[2], place
        if why:
            assert list(folder.glob("damaged-*-changes.db")) and found.verify() == [] and "damaged" in why
        else:
            assert found.entries() == entries, place
    assert told > 60
    (tmp_path / "0" / last_known_good.SERVED_FILE).write_bytes(b"{}")
    assert last_known_good.load(tmp_path / "0") is None


def test_a_gateway_starts_with_a_damaged_change_log_and_records_the_damage_in_a_new_one(tmp_path):
    @run_async
    async def first():
        async with rig(with_changes(tmp_path)) as it:
            await stage_change(it, "plan", "school", "weight=9")
            await wait_until_served(it, 2)
            await it.wait_until(
                lambda: (
                    last_known_good.load(tmp_path) is not None and last_known_good.load(tmp_path).version == 2
                )
            )

    first()
    with sqlite3.connect(tmp_path / "changes.db") as db:
        db.execute("UPDATE trail SET who = 'nobody' WHERE seq = 3")

    @run_async
    async def second():
        async with rig(with_changes(tmp_path)) as it:
            assert it.gateway.service.snapshot.version == 2
            assert {
                plan.name: plan.fair_share_weight
                for plan in it.gateway.scheduler_loop._scheduler.settings.plans
            }["school"] == 9.0
            assert "entry 3" in it.gateway.rollout.change_log.entries()[0].note

    second()
    assert list(tmp_path.glob("damaged-*"))


# Many changes, and history


def test_of_many_changes_in_a_row_each_is_completed_and_the_last_one_is_served(tmp_path):
    """CHANGES=1000 runs 1,000 changes, which takes a minute."""
    count = int(os.environ.get("CHANGES", "60"))

    @run_async
    async def run():
        async with rig(with_changes(tmp_path, keep=20)) as it:
            for number in range(count):
                while True:  # retried on a conflict with a step of the gateway
                    try:
                        made = await execute(it, Set("plan", "school", [f"weight={number + 10}"]))
                        last = (await execute(it, Stage(made["version"])))["version"]
                        break
                    except OperationError as error:
                        assert error.code == "conflict", error.text
                if number % 20 == 0:
                    assert (await it.request("GET", "/school-1/k")).status in (404, 503)
            await it.wait_until(
                lambda: ("applied", last) in steps_of(it) or ("refused", last) in steps_of(it)
            )
            change_log = it.gateway.rollout.change_log
            log = change_log.all_entries()
            ends = {e.version for e in log if e.action in ("applied", "refused", "withdrawn")}
            assert {e.version for e in log if e.action == "staged"} <= ends
            assert len({e.version for e in log if e.action == "proposed"}) >= count
            assert change_log.verify(archives=True) == []

    run()


def make_change_log(folder, count: int) -> ChangeLog:
    change_log = ChangeLog(folder)
    for number in range(1, count + 1):
        change_log.add_version(f"text {number}", number - 1, "[]", "ann", "why", "here")
        change_log.append_all(
            [(Step(what, number), "") for what in ("staged", "applying", "applied")], "gateway"
        )
    return change_log


def test_history_is_bounded_and_the_hash_chain_continues_over_the_archives(tmp_path):
    change_log = make_change_log(tmp_path, 30)
    before, stood = change_log.entries(), change_log.state()
    assert change_log.prune(10) > 0
    assert change_log.prune(10) == 0 or len(change_log.entries()) < 60
    archive = change_log.archive_paths()[0]
    left = archive.read_text()
    row = [*dataclasses.astuple(change_log.entries()[0])]
    archive.write_text(left + json.dumps({"entry": row}) + "\n")
    assert change_log.verify(archives=True) == [], (
        "an interrupted prune leaves entries in the archive that are still in the database"
    )
    archive.write_text(left)
    assert change_log.state() == stood and change_log.version(30).text == "text 30"
    assert change_log.all_entries()[: len(before)] == before
    with pytest.raises(ChangeLogError, match="archives"):
        change_log.version(3)
    for number in range(31, 50):
        change_log.add_version(f"text {number}", number - 1, "[]", "ann", "", "")
    change_log.prune(10)
    assert len(change_log.archive_paths()) >= 2
    assert change_log.verify(archives=True) == [] and change_log.version(30).text == "text 30"
    assert change_log.state() == stood
    for path in change_log.archive_paths():
        data = path.read_text()
        for old, new in (("ann", "eve"), ("text", "test")):
            if old in data:
                path.write_text(data.replace(old, new, 1))
                assert change_log.verify(archives=True) and not change_log.verify()
        path.write_text("\n".join(data.splitlines()[:-1]) + "\n")
        assert change_log.verify(archives=True)
        path.write_text(data)
    with sqlite3.connect(change_log.path) as db:
        db.execute("UPDATE versions SET text = 'other' WHERE id = 30")
    assert change_log.verify(), "a version whose proposal is in an archive is verified too"


@pytest.mark.parametrize("key", ["seq", "hash", "standing", "kept"])
def test_a_prune_entry_without_a_value_is_reported_as_damage_and_other_entries_stay_readable(tmp_path, key):
    change_log = make_change_log(tmp_path, 12)
    assert change_log.prune(3) > 0
    remaining = change_log.entries()
    note = json.loads(remaining[-1].note)
    del note[key]
    with sqlite3.connect(change_log.path) as db:
        db.execute("UPDATE trail SET note = ? WHERE seq = ?", (json.dumps(note), remaining[-1].seq))
    read_without = change_log.state if key in ("seq", "standing") else change_log.verify
    with pytest.raises(ChangeLogError, match=f"can't be read: '{key}'") as error:
        read_without()
    assert error.value.damaged
    assert change_log.entries()[:-1] == remaining[:-1]
    opened, reason = last_known_good.open_change_log(tmp_path)
    assert "damaged" in reason and opened.entries() == []


REQUESTED_OPERATIONS = [
    {"op": "standing"},
    {"op": "show", "version": 1},
    {"op": "log"},
    {"op": "blame"},
    {"op": "verify"},
    {"op": "propose", "text": ""},
    {"op": "set", "kind": "plan", "name": "a"},
    {"op": "stage", "version": 1},
    {"op": "withdraw"},
    {"op": "confirm"},
    {"op": "undo"},
    {"op": "export"},
]


def test_every_operation_has_a_handler_and_its_name_in_json():
    found = [parse_operation(fields) for fields in REQUESTED_OPERATIONS]
    assert [operation_name(each) for each in found] == [fields["op"] for fields in REQUESTED_OPERATIONS]
    assert {type(each) for each in found} == set(get_args(Operation)) == set(ChangeOperations._HANDLERS)


def test_a_change_log_of_the_first_format_is_migrated(tmp_path):
    change_log = make_change_log(tmp_path, 2)
    with sqlite3.connect(change_log.path) as db:
        db.execute("ALTER TABLE trail DROP COLUMN at_ms")
        db.execute("PRAGMA user_version = 1")
    again = ChangeLog(tmp_path)
    assert again.verify() == [] and again.state().serving == 2
    again.append(Step("staged", 1, activate_at_ms=ON_HOLD_MS), "ann")
    assert again.verify() == [] and again.state().staged_activate_at_ms == ON_HOLD_MS
    with sqlite3.connect(change_log.path) as db:
        db.execute("PRAGMA user_version = 9")
    with pytest.raises(ChangeLogError, match="newer one"):
        ChangeLog(tmp_path)


# Shutdowns, and blocks that are removed while in use


def test_a_version_staged_during_a_shutdown_waits_for_the_next_start(tmp_path):
    @run_async
    async def first():
        async with rig(with_changes(tmp_path), unit_ms=120.0) as it:
            answers = []

            async def one():
                answers.append(await it.request("PUT", "/school-1/k", b"x" * 200_000))

            async with anyio.create_task_group() as group:
                group.start_soon(one)
                await it.wait_until(lambda: it.gateway.service.active_requests == 1)
                it.gateway.stop()
                await it.wait_until(lambda: it.gateway.service.stopping)
                await stage_change(it, "plan", "school", "weight=6")
            assert answers[0].status == 201 and answers[0].headers["winchdyke-version"] == "1"
            assert it.gateway.service.snapshot.version == 1

    first()
    assert ChangeLog(tmp_path).state().staged == 2

    @run_async
    async def second():
        async with rig(with_changes(tmp_path)) as it:
            await wait_until_served(it, 2)

    second()


def test_an_upload_continues_after_its_volume_is_removed(tmp_path):
    @run_async
    async def run():
        async with rig(with_changes(tmp_path)) as it:
            peer = await it.connect()
            await peer.stream.send(
                b"PUT /school-1/k HTTP/1.1\r\nhost: t\r\ncontent-length: 200000\r\n\r\n" + b"x" * 100_000
            )
            await it.wait_until(lambda: it.gateway.service.active_requests == 1)
            made = await execute(it, Set("volume", "school-*", remove=True))
            await execute(it, Stage(made["version"]))
            await wait_until_served(it, 2)
            after = await it.request("GET", "/school-1/k")
            await peer.stream.send(b"x" * 100_000)
            from rig import reply

            answer = await reply(peer)
            assert (answer.status, answer.headers["winchdyke-version"]) == (201, "1")
            volume = it.gateway.config.volume("school-1")
            assert volume is not None and after.headers["winchdyke-version"] == "2"
            if it.gateway.service.snapshot.config.volume("school-1") is None:
                assert after.reason == "no-volume"
            heads = [seen for seen in it.record.entries if seen["what"] == "head"]
            assert {
                str(seen["version"]) for seen in heads if seen["request"] == answer.headers["x-request-id"]
            } <= {"1"}

    run()


def test_queued_requests_whose_plan_and_volume_are_removed_are_answered_once_under_their_own_version(
    tmp_path,
):
    @run_async
    async def run():
        async with rig(with_changes(tmp_path), unit_ms=60.0) as it:
            stop, answers = False, []

            async def load(number: int) -> None:
                count = 0
                while not stop:
                    count += 1
                    answers.append(await it.request("GET", f"/contest-{number % 3}/k{number}-{count}"))

            async with anyio.create_task_group() as group:
                for number in range(60):
                    group.start_soon(load, number)
                await it.wait_until(lambda: len(it.gateway.scheduler_loop.open_requests) >= 40, 15.0)
                base = it.gateway.rollout.change_log.version(1).text
                made = await execute(it, Set("volume", "contest-*", remove=True))
                text = it.gateway.rollout.change_log.version(made["version"]).text
                at = text.index("plan contest {")
                made = await execute(it, Propose(text[:at] + text[text.index("}", at) + 2 :]))
                assert base != text
                await execute(it, Stage(made["version"]))
                await wait_until_served(it, made["version"])
                await anyio.sleep(0.5)
                stop = True
            told = {answer.headers["x-request-id"]: answer.headers["winchdyke-version"] for answer in answers}
            assert len(told) == len(answers) and set(told.values()) == {"1", "3"}
            assert {answer.status for answer in answers} <= {404, 503, 504}
            assert it.gateway.scheduler_loop.counts["faults"] == 0
            heads = [seen for seen in it.record.entries if seen["what"] == "head"]
            assert all(str(seen["version"]) == told[seen["request"]] for seen in heads)
            volumes = it.gateway.scheduler_loop._scheduler.quotas
            assert {volumes[f"contest-{number}"].plan.name for number in range(3)} == {"basic"}

    run()


def test_a_volume_that_changes_its_plan_during_a_burst_is_served_throughout_and_limited_by_the_new_plan(
    tmp_path,
):
    @run_async
    async def run():
        text = "\n[plan small]\nusual_rate = 10\nlimit = 20\nlimit_burst = 8\n"
        config = dataclasses.replace(settings(text), changes=Changes(str(tmp_path)), admin=Admin("none"))
        async with rig(config, unit_ms=1.0) as it:
            stop, answers = False, []

            async def load(number: int) -> None:
                count = 0
                while not stop:
                    count += 1
                    answers.append(
                        await it.request("GET", f"/school-1/k{number}-{count}", winchdyke_time_left="200ms")
                    )

            async with anyio.create_task_group() as group:
                for number in range(6):
                    group.start_soon(load, number)
                # Three times what the new plan admits in the 1.5 s below, however slowly this host sends.
                await it.wait_until(lambda: sum(seen["what"] == "head" for seen in it.record.entries) > 120)
                await stage_change(it, "volume", "school-*", "plan=small")
                await wait_until_served(it, 2)
                since = it.record.entries[-1]["t"]
                await anyio.sleep(1.5)
                stop = True
            assert it.gateway.scheduler_loop._scheduler.quotas["school-1"].plan.name == "small"
            heads = [seen for seen in it.record.entries if seen["what"] == "head"]
            late = [seen for seen in heads if seen["t"] > since + 50]
            span = (it.record.entries[-1]["t"] - since) / 1000
            assert 5 <= len(late) <= 8 + 20 * span + 2
            assert len([seen for seen in heads if seen["t"] <= since]) > 2 * len(late), (
                "the old plan admitted the burst"
            )
            assert {answer.status for answer in answers} <= {404, 503, 504}
            told = {answer.headers["x-request-id"]: answer.headers["winchdyke-version"] for answer in answers}
            assert len(told) == len(answers) and set(told.values()) == {"1", "2"}
            assert all(str(seen["version"]) == told[seen["request"]] for seen in heads)

    run()


# Clock skew


def test_phases_around_an_instant_and_the_lower_of_two_limits():
    assert [phase_at(now, 100.0, 20.0) for now in (79, 80, 99, 100, 119, 120)] == [
        Phase.OLD, Phase.OLD_LOWER, Phase.OLD_LOWER, Phase.NEW_LOWER, Phase.NEW_LOWER, Phase.NEW,
    ]  # fmt: skip
    assert phase_at(5.0, 0.0, 20.0) is Phase.NEW
    base = settings()
    plan = dataclasses.replace(base.plans[0], limit_units_per_s=10.0, limit_burst_units=5.0)
    none, high = (
        dataclasses.replace(plan, limit_units_per_s=0.0, limit_burst_units=0.0),
        dataclasses.replace(plan, limit_units_per_s=20.0, limit_burst_units=3.0),
    )
    assert (
        with_lower_limits(plan, none)
        == with_lower_limits(none, plan)
        == with_lower_limits(plan, None)
        == plan
        and with_lower_limits(none, None) == none
    )
    assert (
        with_lower_limits(plan, high).limit_units_per_s,
        with_lower_limits(high, plan).limit_burst_units,
    ) == (10.0, 3.0)
    new = parse(set_values(base, "plan", "school", ["limit=80 units/s", "limit_burst=90"]))
    assert limits_differ(base, new) and not limits_differ(base, base)
    for at in Phase:
        going = EffectiveConfig(base, new, at)
        assert going.plan("school-1").limit_units_per_s == (0.0 if at is Phase.OLD else 80.0)
        assert {p.name: p for p in going.settings().plans}["school"].limit_units_per_s == going.plan(
            "school-1"
        ).limit_units_per_s
    moved = parse(set_values(base, "volume", "school-*", ["plan=contest"]))
    assert limits_differ(base, moved)


@given(
    offsets=st.lists(st.floats(-900, 900), min_size=2, max_size=5),
    limits=st.tuples(st.integers(1, 50), st.integers(1, 50)),
    now=st.floats(-5000, 5000),
)
@examples(max_examples=300)
def test_while_gateways_serve_different_versions_all_apply_the_lower_limit(offsets, limits, now):
    old, new = limits
    phases = [phase_at(10_000.0 + now + offset, 10_000.0, 1800.0) for offset in offsets]
    held = {Phase.OLD: old, Phase.NEW: new, Phase.OLD_LOWER: min(limits), Phase.NEW_LOWER: min(limits)}
    versions = {at in (Phase.NEW, Phase.NEW_LOWER) for at in phases}
    if len(versions) == 2:
        assert {held[at] for at in phases} == {min(limits)}
    assert sum(held[at] for at in phases) <= max(limits) * len(phases)


def test_every_interleaving_of_clocks_kills_and_late_gateways_keeps_the_lower_limit_while_versions_differ():
    lowered, raised = (5, 2), (2, 5)
    for limits in (lowered, raised):
        found = explore(CutoverModel(limits=limits))
        assert found.complete and not found.violation, (found.violation, found.trace)
        assert found.states > 500
    for careless, limits in (("early", lowered), ("settle", raised), ("restart", raised)):
        assert explore(CutoverModel(omitted_step=careless, limits=limits)).violation, careless


@pytest.mark.parametrize("limit", [(200, 24), (24, 200)])
@measured
def test_three_gateways_with_clock_skew_keep_the_lower_limit_in_sum_while_their_versions_differ(
    tmp_path, limit
):
    """Measured at the stores alone, with clocks 2 s apart; a lowered limit applies before the first gateway changes over."""
    old, new = limit
    least = min(limit)

    @run_async
    async def run():
        base = set_values(settings(), "plan", "basic", [f"limit={old} units/s", "limit_burst=9"])
        config = dataclasses.replace(
            parse(base), changes=Changes(str(tmp_path / "0"), clocks_apart=2500.0), admin=Admin("none")
        )
        async with rig(gateway_config(config, 0, tmp_path), unit_ms=0.2) as it:
            gateways = [it.gateway]
            for index in (1, 2):
                made = Gateway(
                    dataclasses.replace(
                        gateway_config(config, index, tmp_path), nodes=it.gateway.config.nodes
                    )
                )
                ready = anyio.Event()
                it.group.start_soon(made.run, ready.set)
                await ready.wait()
                gateways.append(made)
            await it.wait_until(lambda: all(len(each.scheduler_loop.endpoints) == 8 for each in gateways))
            offsets = (-1000.0, 0.0, 1000.0)
            for each, offset in zip(gateways, offsets, strict=True):
                each.rollout.wall_clock_ms = lambda offset=offset: time.time() * 1000 + offset
            stop = False
            changed: dict[int, float] = {}
            began = it.record.entries[-1]["t"]

            async def load(gateway: Gateway, number: int) -> None:
                from rig import Peer, h11, reply

                peer = Peer(await anyio.connect_tcp(*gateway.address), h11.CLIENT)
                count = 0
                while not stop:
                    count += 1
                    fields = [("host", "t"), ("winchdyke-time-left", "150ms")]
                    target = f"/other/k{number}-{count}"
                    await peer.send(
                        h11.Request(method="GET", target=target, headers=fields), h11.EndOfMessage()
                    )
                    await reply(peer)
                    if gateway.service.snapshot.version == 2 and id(gateway) not in changed:
                        changed[id(gateway)] = it.record.entries[-1]["t"]
                await anyio.aclose_forcefully(peer.stream)

            async with anyio.create_task_group() as group:
                for number in range(9):
                    group.start_soon(load, gateways[number % 3], number)
                await anyio.sleep(0.3)
                at = time.time() * 1000 + 3200

                def all_of_them() -> None:
                    for each in gateways:
                        operations = ChangeOperations(each.rollout.change_log, "ann", "here")
                        operations.execute(Set("plan", "basic", [f"limit={new} units/s"]))
                        operations.execute(Stage(2, at_ms=at))

                await anyio.to_thread.run_sync(all_of_them)
                await it.wait_until(lambda: len(changed) == 3, 15)
                await anyio.sleep(0.5)
                last_change = it.record.entries[-1]["t"]
                if new > old:
                    await anyio.sleep(4.5)
                stop = True
            first, last = min(changed.values()), max(changed.values())
            assert 1500 < last - first < 3000, "the gateways changed over 2 s apart, as their clocks differ"
            heads = [
                seen for seen in it.record.entries if seen["what"] == "head" and seen["volume"] == "other"
            ]
            between = [seen["t"] for seen in heads if first <= seen["t"] <= last]
            units = sum(seen["units"] for seen in heads if first <= seen["t"] <= last)
            assert units <= 9 + least * (last - first) / 1000 * 1.05 + 3, (units, len(between))
            assert units >= least * (last - first) / 1000 * 0.4, "the limit is used"
            if new > old:
                rest = [seen for seen in heads if seen["t"] > last_change + 3000]
                assert sum(seen["units"] for seen in rest) > 1.5 * old * 1.0, (
                    "the higher limit applies after the skew interval"
                )
            else:
                before = [seen for seen in heads if began < seen["t"] < first - 2000]
                assert before

    run()


def gateway_config(config, index: int, folder):
    gateway = dataclasses.replace(config.gateway, name=f"g{index}", index=index, gateways=3)
    volumes = tuple(dataclasses.replace(rule, gateways=3) for rule in config.volumes)
    changes = dataclasses.replace(config.changes, folder=str(folder / str(index)))
    return dataclasses.replace(config, gateway=gateway, volumes=volumes, changes=changes)


# Operations


def test_operations_that_cannot_be_carried_out_raise_an_error_with_text_and_code(tmp_path):
    change_log = ChangeLog(tmp_path)
    base = settings()
    change_log.add_version(config_text(base), 0, "[]", "gateway", "", "")
    change_log.append_all([(Step(what, 1), "") for what in ("staged", "applying", "applied")], "gateway")
    operations = ChangeOperations(change_log, "ann", "here")

    def code(operation) -> str:
        with pytest.raises(OperationError) as error:
            operations.execute(operation)
        assert error.value.text
        return error.value.code

    assert code(Stage(1)) == "served"
    assert code(Undo()) == "nothing-before"
    assert code(Withdraw()) == "nothing-staged"
    assert code(Show(7)) == "trail"
    assert code(Set("plan", "school", [])) == "no-difference"
    assert code(Set("plan", "school", ["weight=8"], new=True)) == "no-edit"
    assert code(Set("limits", "", ["connections=3"])) == "no-edit"
    assert code(Set("plan", "none", remove=True)) == "no-edit"
    assert code(Set("plan", "school", remove=True)) == "check", "volumes still use the plan"
    assert code(Propose("plan {")) == "check"
    assert code(Propose("x" * 10, why="y" * 5000)) == "too-long"
    assert operations.execute(Set("plan", "school", ["weight=8"], check=True))["changes"]
    assert operations.execute(Status())["last"] == 4, "a check stores nothing"
    made = operations.execute(Set("plan", "extra", ["weight=8"], new=True))
    assert made["version"] == 2
    assert code(Stage(2, at_ms=1000.0)) == "past"
    assert operations.execute(Stage(2, hold=True))["withdrawn"] is None
    assert operations.execute(Status())["held"] and operations.execute(Log(after=4))["entries"][-1]["held"]
    operations.execute(Set("plan", "school", ["weight=4"]))
    assert operations.execute(Stage(3))["withdrawn"] == 2
    assert operations.execute(Withdraw())["version"] == 3
    assert operations.execute(Verify())["wrong"] == []
    with pytest.raises(OperationError, match="Object missing required field"):
        parse_operation({"op": "show"})


def test_the_complete_history_is_read_during_a_prune(tmp_path):
    """A reader of the archives first and then the database would miss entries that a prune moves between the two reads."""

    class PrunedWhileRead(ChangeLog):
        """Prunes the change log right after the first read, whichever that is."""

        moved = False

        def move(self) -> None:
            if not self.moved:
                self.moved = True
                pruned_log.prune(3)

        def entries_after(self, seq):
            found = super().entries_after(seq)
            self.move()
            return found

        def archived_entries(self):
            found = list(super().archived_entries())
            self.move()
            return iter(found)

    pruned_log = make_change_log(tmp_path, 12)
    before = pruned_log.entries()
    reader = PrunedWhileRead(tmp_path)
    assert reader.all_entries() == before and reader.moved
    assert len(pruned_log.entries()) < len(before), "some entries were archived"
    assert reader.all_entries()[: len(before)] == before


def test_a_change_log_that_is_read_during_a_prune_is_read_from_one_snapshot(tmp_path):
    """A reader must not combine the state before a prune with the entries after it: a start or an operation failed on that."""
    change_log, reader, stop = make_change_log(tmp_path, 6), ChangeLog(tmp_path), []

    def reading() -> int:
        count = 0
        while not stop:
            found = reader.state()
            assert found.serving >= 6 and reader.verify() == []
            count += 1
        return count

    with ThreadPoolExecutor(2) as pool:
        jobs = [pool.submit(reading) for _ in range(2)]
        try:
            for number in range(7, 60):
                change_log.add_version(f"text {number}", number - 1, "[]", "ann", "", "")
                change_log.append_all(
                    [(Step(what, number), "") for what in ("staged", "applying", "applied")], "gateway"
                )
                change_log.prune(3)
        finally:
            stop.append(True)
        assert all(job.result() > 5 for job in jobs)
    assert change_log.verify(archives=True) == []
