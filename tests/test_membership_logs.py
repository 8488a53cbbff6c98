"""The log events of membership: each protocol event has its own name, and the page for operators lists them all."""

from __future__ import annotations

import base64
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from structlog.testing import capture_logs

from winchdyke.admin import keys
from winchdyke.membership import log_events
from winchdyke.membership.shared_keys import SharedKeys
from winchdyke.model.fleet import Fleet

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "winchdyke" / "membership"


@pytest.fixture
def default_logging() -> Iterator[None]:
    """Logging as structlog sets it up: other tests of the process switch all lines off."""
    configuration = structlog.get_config()
    structlog.reset_defaults()
    yield
    structlog.configure(**configuration)


def test_each_code_that_the_protocol_reports_has_a_log_event_of_its_own():
    sources = "\n".join(path.read_text() for path in PACKAGE.glob("*.py"))
    written = set(re.findall(r'\.report\(\s*"([a-z-]+)"', sources))
    assert len(written) >= 8 and written <= set(log_events.LOG_EVENTS)
    names = [*log_events.LOG_EVENTS.values(), log_events.LOCAL_MEMBER_LEFT]
    assert len(set(names)) == len(names)


def test_the_events_of_a_troubled_run_all_have_log_events():
    fleet = Fleet(5, 1)
    fleet.run(10_000.0)
    fleet.pause("g2", 6000.0)
    fleet.links.cut = {("g0", "g1")}
    fleet.kill("g3")
    fleet.run(60_000.0)
    fleet.start("g3", clock=-900_000.0)
    fleet.leave("g4")
    fleet.run(90_000.0)
    codes = {note.code for _, _, note in fleet.notes}
    assert {"found", "suspect", "dead", "left", "slept", "renewed", "link-deaf"} <= codes
    assert all(log_events.log_event(note.code, note.member) for _, _, note in fleet.notes)


def test_the_page_for_operators_names_every_log_event():
    sources = "\n".join(path.read_text() for path in PACKAGE.glob("*.py"))
    page = (ROOT / "docs" / "fleet.md").read_text()
    names = set(re.findall(r'"(membership_[a-z_]+)"', sources))
    assert len(names) > 20 and not {name for name in names if f"`{name}`" not in page}


def test_a_broken_file_of_keys_is_logged_by_name_and_the_earlier_keys_stay_in_use(tmp_path, default_logging):
    path = tmp_path / "keys"
    keys.write_keys(path, [keys.Key("k1", base64.b64encode(b"1" * 32).decode(), "fleet")])
    shared = SharedKeys(str(path))
    shared.load()
    before = list(shared.secrets)
    path.write_text("{broken")
    with capture_logs() as lines:
        shared.reload()
    assert shared.secrets == before
    assert [line["event"] for line in lines] == ["membership_key_reload_failed"]
    assert "the earlier keys stay in use" in lines[0]["error"]
