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
    """Restores structlog's defaults, since other tests of the same process disable logging."""
    configuration = structlog.get_config()
    structlog.reset_defaults()
    yield
    structlog.configure(**configuration)


def test_each_code_that_the_protocol_reports_has_a_log_event_of_its_own():
    sources = "\n".join(path.read_text() for path in PACKAGE.glob("*.py"))
    codes_in_source = set(re.findall(r'\.report\(\s*"([a-z-]+)"', sources))
    assert len(codes_in_source) >= 8 and codes_in_source <= set(log_events.LOG_EVENTS)
    event_names = [*log_events.LOG_EVENTS.values(), log_events.LOCAL_MEMBER_LEFT]
    assert len(set(event_names)) == len(event_names)


def test_all_events_of_a_run_with_faults_have_log_events():
    fleet = Fleet(5, 1)
    fleet.run(10_000.0)
    fleet.pause("g2", 6000.0)
    fleet.links.cut = {("g0", "g1")}
    fleet.kill("g3")
    fleet.run(60_000.0)
    fleet.start("g3", clock=-900_000.0)
    fleet.leave("g4")
    fleet.run(90_000.0)
    codes = {event.code for _, _, event in fleet.reports}
    assert {"found", "suspect", "dead", "left", "slept", "renewed", "link-deaf"} <= codes
    assert all(log_events.log_event(event.code, event.member) for _, _, event in fleet.reports)


def test_the_page_for_operators_names_every_log_event():
    sources = "\n".join(path.read_text() for path in PACKAGE.glob("*.py"))
    page = (ROOT / "docs" / "fleet.md").read_text()
    names = set(re.findall(r'"(membership_[a-z_]+)"', sources))
    assert len(names) > 20 and not {name for name in names if f"`{name}`" not in page}


def test_an_invalid_key_file_is_logged_and_the_earlier_keys_stay_in_use(tmp_path, default_logging):
    path = tmp_path / "keys"
    keys.write_keys(path, [keys.Key("k1", base64.b64encode(b"1" * 32).decode(), "fleet")])
    shared = SharedKeys(str(path))
    shared.load()
    before = list(shared.secrets)
    path.write_text("{broken")
    with capture_logs() as log_lines:
        shared.reload()
    assert shared.secrets == before
    assert [log_line["event"] for log_line in log_lines] == ["membership_key_reload_failed"]
    assert "the earlier keys stay in use" in log_lines[0]["error"]
