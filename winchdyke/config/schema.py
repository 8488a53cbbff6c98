"""The blocks of the settings and their keys: one table from which are made the checker, the formatter of converted
settings, the diff, and the reference page."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.config import types as t

MS, SECONDS = 1.0, 1000.0


@dataclass(frozen=True)
class Key:
    """A key: its type, its default as it would be written (None: it must be given), and what it means."""

    type: t.Type
    default: str | None
    doc: str
    refers_to: str = ""  # the kind of block whose name it is


@dataclass(frozen=True)
class BlockKind:
    """A kind of block. ``name`` is the type of its name; None: it has none, and there is one at the most."""

    doc: str
    keys: dict[str, Key]
    name: t.Type | None = None
    required: bool = False


def _time(default: str | None, doc: str, low: float, high: float, allow_zero: bool = True) -> Key:
    return Key(t.Duration(usual_range=(low, high), allow_zero=allow_zero), default, doc)


NOT_GIVEN = ""  # a default that stands for "not given"

BLOCKS: dict[str, BlockKind] = {
    "gateway": BlockKind(
        "This gateway among all that serve the same volumes.",
        {
            "name": Key(t.Type(), "gateway", "Its name: in logs, and told to stores and the list service."),
            "index": Key(t.Count(), "0", "Its number, from 0; under `gateways`."),
            "gateways": Key(t.Count(low=1), "1", "How many gateways there are in all."),
            "zone": Key(t.Type(), '""', "The zone it stands in."),
            "seed": Key(t.Count(), "1", "What its random choices are drawn from."),
            "port_file": Key(t.Type(), '""', "A file that its address is written to once it listens."),
        },
    ),
    "listener": BlockKind(
        "An address that clients connect to; several may be given.",
        {"address": Key(t.Address(), None, "Where to listen; port 0 lets the system choose.")},
        t.Type("name"),
        required=True,
    ),
    "log": BlockKind(
        "What is written to standard error.",
        {
            "form": Key(
                t.OneOf(allowed=("json", "console", "none")), "json", "JSON lines, lines for people, or none."
            ),
            "access": Key(t.Flag(), "yes", "Whether each request has a line."),
        },
    ),
    "accounts": BlockKind(
        "The ledger of who waited for whom; none is kept where no folder is given.",
        {
            "folder": Key(t.Type(), '""', "Where its segments are written."),
            "segment_bytes": Key(t.Size(usual_range=(65536, 1 << 30)), "16MiB", "Bytes of a segment."),
            "segment_time": _time(
                "10m",
                "Time after which a segment is followed by the next.",
                SECONDS,
                24 * 3600 * SECONDS,
                allow_zero=False,
            ),
            "total_bytes": Key(t.Size(), "1GiB", "Bytes of the whole ledger; the oldest go first."),
            "keep_accounts": _time(
                "168h",
                "Time after which accounts are summed up by the minute.",
                SECONDS,
                400 * 24 * 3600 * SECONDS,
                allow_zero=False,
            ),
            "sync": _time(
                "200ms",
                "Time after which what was written is on the disk.",
                10 * MS,
                60 * SECONDS,
                allow_zero=False,
            ),
        },
    ),
    "changes": BlockKind(
        "Versions of plans, volumes, routes and pools that are changed in service; none where no folder is given.",
        {
            "folder": Key(t.Type(), '""', "Where they and their trail are kept; owner-only."),
            "keep": Key(
                t.Count(low=2),
                "200",
                "Versions that are kept there; older ones are moved to files beside it.",
            ),
            "clocks_apart": _time(
                "2s",
                "How far gateways' clocks may be apart around an instant that a change is staged for.",
                10 * MS,
                60 * SECONDS,
            ),
        },
    ),
    "writeback": BlockKind(
        "The log that writes are acknowledged from before they are at their stores; none where no folder is given.",
        {
            "folder": Key(t.Type(), '""', "Where it is kept; one gateway's alone."),
            "classes": Key(
                t.Many("classes", of=t.Type()),
                NOT_GIVEN,
                "Classes whose whole objects are acknowledged from the log.",
            ),
            "segment_bytes": Key(t.Size(usual_range=(1 << 20, 1 << 30)), "16MiB", "Bytes of a segment."),
            "total_bytes": Key(t.Size(), "1GiB", "Bytes of the whole log; a full one refuses."),
            "record_bytes": Key(
                t.Size(), "1MiB", "The largest object that goes into it; larger ones go through."
            ),
            "wide": Key(t.Count(low=1), "4", "Records out at one shard where no live request waits for it."),
            "urgent": _time(
                "60s", "Age from which on a record goes before others.", MS, 3600 * SECONDS, allow_zero=False
            ),
            "remember": _time(
                "1h",
                "How long a repeated Idempotency-Key is answered from the log's own memory.",
                SECONDS,
                24 * 3600 * SECONDS,
            ),
        },
    ),
    "admin": BlockKind(
        "Where changes are asked for while the gateway serves; only where they are kept (`changes, folder`).",
        {
            "socket": Key(
                t.Type(),
                '""',
                "A unix socket; admin.sock in the folder of changes where not given; none for none.",
            ),
            "listen": Key(
                t.Address(), NOT_GIVEN, "An address for signed requests; `keys` must be given with it."
            ),
            "keys": Key(t.Type(), '""', "A file of keys, readable by its owner alone; see `winchdyke keys`."),
        },
    ),
    "fleet": BlockKind(
        "Membership among gateways; none where no address is given. See docs/fleet.md.",
        {
            "listen": Key(
                t.Address(),
                NOT_GIVEN,
                "Where other gateways' datagrams and exchanges come in: UDP and TCP, one port.",
            ),
            "advertise": Key(
                t.Type(), '""', "HOST:PORT that others reach it at, where that is not `listen`."
            ),
            "seeds": Key(
                t.Many("addresses", of=t.Address()),
                NOT_GIVEN,
                "Gateways that are asked for the others; several. Names are looked up at every try.",
            ),
            "list": Key(
                t.Url(),
                NOT_GIVEN,
                "A list service that names gateways by their addresses here (docs/node-list.md); they are seeds too.",
            ),
            "keys": Key(
                t.Type(),
                '""',
                "A file of keys, its owner's alone (`winchdyke keys new`); the first good one seals, all good ones open.",
            ),
            "keep": Key(t.Type(), '""', "A folder of its own where the members are kept for the next start."),
            "interval": _time(
                "1s", "Between probes, each of one member.", 50 * MS, 60 * SECONDS, allow_zero=False
            ),
            "timeout": _time(
                "300ms",
                "For a direct answer; the rest of the interval is for indirect ones.",
                MS,
                30 * SECONDS,
                allow_zero=False,
            ),
            "exchange": _time(
                "30s", "Between full exchanges with one member.", 100 * MS, 3600 * SECONDS, allow_zero=False
            ),
            "forget": _time(
                "10m",
                "How long the dead and those that left stay known.",
                SECONDS,
                24 * 3600 * SECONDS,
                allow_zero=False,
            ),
        },
    ),
    "peer": BlockKind(
        "Where a gateway is reached from here, by its name; it wins over what is heard of it.",
        {"address": Key(t.Address(), None, "Its address for the fleet.")},
        t.Type("name"),
    ),
    "tls": BlockKind(
        "Certificates of the listeners that clients connect to; read anew when the files change.",
        {
            "certificate": Key(
                t.Type(), '""', "A file in PEM: the certificate, and those that lead to its issuer."
            ),
            "key": Key(t.Type(), '""', "Its key, in PEM."),
            "least": Key(t.OneOf(allowed=("1.2", "1.3")), "1.2", "The oldest version of TLS that is spoken."),
            "clients": Key(
                t.Type(), '""', "Issuers of clients' certificates: with them each client must show one."
            ),
            "on": Key(t.OneOf(allowed=("s3", "all")), "s3", "Listeners that speak TLS."),
            "stores": Key(
                t.Type(),
                '""',
                "Issuers of stores' certificates: with them stores are spoken to over TLS alone.",
            ),
        },
    ),
    "s3": BlockKind(
        "The object API as S3 clients speak it, at a listener of its own.",
        {
            "listen": Key(t.Address(), NOT_GIVEN, "Where to listen; no S3 where not given."),
            "domain": Key(t.Type(), '""', "Names under this domain are buckets (virtual-host style)."),
            "keys": Key(t.Type(), '""', "A file of access keys, its owner's alone; see `winchdyke access`."),
            "master": Key(t.Type(), '""', "A file with the master key that their secrets are sealed with."),
            "unsigned": Key(
                t.OneOf(allowed=("none", "read", "all")), "none", "What is let in without a signature."
            ),
            "part_least": Key(t.Size(), "5MiB", "Bytes of every part of an upload but its last."),
            "parts_at_once": Key(
                t.Count(low=1),
                "4",
                "Parts of one upload that are handed to the scheduler at once; the rest wait in turn.",
            ),
            "ranges_at_once": Key(t.Count(low=1), "8", "The same for ranges of one object."),
            "upload_keep": _time(
                "168h",
                "How long an upload that nobody touches is kept.",
                60 * SECONDS,
                90 * 24 * 3600 * SECONDS,
            ),
        },
    ),
    "nodes": BlockKind(
        "The list service.",
        {
            "list": Key(t.Url(), None, "Its address."),
            "discovery": Key(t.OneOf(allowed=("pushed", "asked")), "pushed", "Whether changes come unasked."),
            "wait": _time(
                "10s", "How long a call for news may wait at the service.", 100 * MS, 120 * SECONDS
            ),
            "timeout": _time(
                "2s", "How long a call may take beyond that.", 50 * MS, 30 * SECONDS, allow_zero=False
            ),
            "form": Key(
                t.OneOf(allowed=("token", "index")),
                "token",
                "How news is asked for: since a token, or blocking by an index.",
            ),
            "keep": Key(
                t.Type(), '""', "A folder of its own where the list is kept for a start without discovery."
            ),
            "file": Key(
                t.Type(), '""', "A file with a list, watched; it counts where the list service fails."
            ),
            "srv": Key(
                t.Type(), '""', "A DNS name whose SRV records are the list (SHARD.NAME); it counts last."
            ),
            "dns": Key(t.Type(), '"127.0.0.1:53"', "The DNS server asked for them, as ADDRESS:PORT."),
            "vanish_share": Key(
                t.Share(), "50%", "Of the nodes that a list may leave out at once before it is doubted."
            ),
            "hold": _time(
                "5m",
                "How long such a list is doubted while those nodes answer.",
                SECONDS,
                24 * 3600 * SECONDS,
            ),
        },
        required=True,
    ),
    "limits": BlockKind(
        "Bounds on what clients and stores may use of this gateway.",
        {
            "header_bytes": Key(
                t.Size(usual_range=(1024, 1 << 20)), "16KiB", "The largest head of a request."
            ),
            "header_timeout": _time(
                "10s", "Time for a head to come whole, from its first byte.", 100 * MS, 120 * SECONDS
            ),
            "idle_timeout": _time(
                "75s", "Time that a connection may rest between requests.", SECONDS, 3600 * SECONDS
            ),
            "stream_idle": _time(
                "30s", "Time that a body may stand still on its way.", 100 * MS, 600 * SECONDS
            ),
            "answer_margin": _time(
                "25ms", "Kept of a client's time for the answer's way back.", 0.0, 500 * MS
            ),
            "connections": Key(t.Count(low=1), "1000", "Most connections of clients."),
            "body_memory": Key(
                t.Size(), "256KiB", "How much of a body is kept in memory; the rest goes to a file."
            ),
            "body_total": Key(t.Size(), "1GiB", "Most of all kept bodies together."),
            "object_bytes": Key(t.Size(), "5GiB", "The largest object."),
            "connect_timeout": _time(
                "250ms", "Time for a connection to a store.", MS, 5 * SECONDS, allow_zero=False
            ),
            "pool_idle": _time(
                "30s", "Time that a connection to a store is kept unused.", 100 * MS, 3600 * SECONDS
            ),
            "pool_per_node": Key(t.Count(low=1), "32", "Most unused connections kept to a store."),
            "tick": _time(
                "1ms", "The least time between two decisions, as the module counts it.", 0.1, 100 * MS
            ),
        },
    ),
    "rules": BlockKind(
        "The rules in figures, and how worth is counted.",
        {
            "mean_units": Key(t.Number(low=1e-9), "1", "Mean units of a request."),
            "largest_units": Key(t.Number(low=1e-9), "8", "Most units that a request counts."),
            "fair_worth": Key(t.Share(), "30%", "Worth of units beyond the reserve, inside the share."),
            "idle_worth": Key(t.Share(), "8%", "Worth of units beyond both."),
            "meter": _time(
                "0", "Period over which stores tell a volume's use; 0: they do not.", 10 * MS, 60 * SECONDS
            ),
            "max_attempts": Key(t.Count(low=1, high=100), "3", "Most attempts for a request."),
            "may_cancel": Key(t.Flag(), "no", "Whether attempts may be called off."),
            "max_retry_after": _time(
                "1s", "The longest time that clients are told to stay away.", MS, 600 * SECONDS
            ),
            "cold_from": Key(t.Share(), "100%", "Part of its power that a store starts with at least."),
            "warm_after": _time("0", "Time after which a started store is warm.", 100 * MS, 3600 * SECONDS),
            "fall_multiple": Key(
                t.Number(), "0", "Multiple of its present power at which a cold store falls over."
            ),
            "fall_window": _time("0", "Time that this must last.", 10 * MS, 60 * SECONDS),
            "cold_units": Key(t.Number(), "0", "Units in that time that a cold store always bears."),
            "settle": _time(
                "0", "Rest of an order key after an attempt that may still run.", MS, 60 * SECONDS
            ),
            "extra_window": _time(
                "0", "Window of the attempt budget; 0: there is none.", 100 * MS, 600 * SECONDS
            ),
            "extra_free": Key(t.Number(), "0", "Further attempts in it that are free."),
            "extra_share": Key(t.Share(), "0%", "Further attempts in it as a part of the requests taken."),
        },
    ),
    "class": BlockKind(
        "A class of requests: what it is worth, until when, and whether it may run again.",
        {
            "operations": Key(
                t.Many("operations", of=t.OPERATION), NOT_GIVEN, "Operations that fall into it by themselves."
            ),
            "also": Key(
                t.Many("operations", of=t.OPERATION),
                NOT_GIVEN,
                "Operations it takes where a client or a route asks.",
            ),
            "worth": Key(t.Number(), "1", "Worth of a request served within the aim."),
            "aim": _time(None, "Wanted time of an answer.", MS, 60 * SECONDS, allow_zero=False),
            "deadline": _time(
                None, "Time after which clients give up.", 10 * MS, 600 * SECONDS, allow_zero=False
            ),
            "late_share": Key(t.Share(), "0%", "Worth of an answer after the aim."),
            "effect": Key(
                t.OneOf(allowed=("idempotent", "keyed", "at-most-once")),
                None,
                "What a second run does: nothing, nothing where the store knows the key, or harm.",
            ),
            "scope": Key(
                t.OneOf(allowed=("all", "zone", "cell")), "cell", "Stores that drop each other's repeats."
            ),
            "memory": _time("0", "Time for which they do.", 100 * MS, 24 * 3600 * SECONDS),
            "streamed": Key(t.Flag(), "no", "Whether answers are long streams."),
            "in_order": Key(t.Flag(), "no", "Whether requests of one key run one at a time, as they came."),
            "writes": Key(t.Flag(), "no", "Whether it changes data."),
            "unit_bytes": Key(t.Size(), "64KiB", "Bytes that count as a unit."),
            "usual_units": Key(t.Number(), "1", "Units where a size is not known before."),
        },
        t.Type("name"),
        required=True,
    ),
    "plan": BlockKind(
        "What a volume is promised, over all gateways and stores.",
        {
            "worth_factor": Key(t.Number(), "1", "Factor on the worth of its requests."),
            "weight": Key(t.Number(), "1", "Its weight in sharing what is left beyond reserves."),
            "usual_rate": Key(t.Rate(), "0", "The use it is sized for."),
            "reserve": Key(t.Rate(), "0", "Use that earns its full worth."),
            "limit": Key(t.Rate(), "0", "Use it never passes; 0: no limit."),
            "limit_burst": Key(t.Number(), "0", "Units that the limit lets through at once."),
        },
        t.Type("name"),
        required=True,
    ),
    "pool": BlockKind(
        "Shards by a name.",
        {"shards": Key(t.Shards(), None, "The shards, as in 0-3, 7.")},
        t.Type("name"),
    ),
    "store": BlockKind(
        "What is known of a store beforehand; the list service says which are there.",
        {
            "shard": Key(t.Count(high=100_000), None, "The shard it holds."),
            "capacity": Key(t.Rate(), "0", "What it can do when warm; 0: not known."),
            "answers_in": _time("0", "Its usual answer; 0: not known.", 0.05, 10 * SECONDS),
        },
        t.Address(),
    ),
    "volume": BlockKind(
        "What holds for the volumes of a name, or of names that begin alike (`school-*`). The longest match counts.",
        {
            "plan": Key(t.Type("name"), None, "Its plan.", "plan"),
            "pool": Key(t.Type("name"), NOT_GIVEN, "The pool its objects lie in.", "pool"),
            "shards": Key(t.Shards(), NOT_GIVEN, "The shards its objects lie on, in place of a pool."),
            "gateways": Key(t.Count(low=1), "1", "Through how many gateways its requests come."),
        },
        t.Pattern(),
        required=True,
    ),
    "route": BlockKind(
        "Requests that get a class or a pool of their own. Of the routes that match, the one of the highest priority"
        " counts; of those the one that says more of volume, key, header, size and method, in this order; then the name.",
        {
            "priority": Key(t.Count(low=-1000, high=1000), "0", "Higher comes first."),
            "volume": Key(t.Pattern(), "*", "The volume, or how its name begins."),
            "key": Key(t.Type("text"), '""', "How the object's key begins."),
            "method": Key(t.Many("methods", of=t.METHOD), NOT_GIVEN, "The methods; none given: any."),
            "header": Key(t.Header(), NOT_GIVEN, "A header and its value."),
            "size": Key(t.Sizes(), NOT_GIVEN, "The stated length of the body."),
            "class": Key(t.Type("name"), NOT_GIVEN, "The class they fall into.", "class"),
            "pool": Key(t.Type("name"), NOT_GIVEN, "The pool their objects lie in.", "pool"),
        },
        t.Type("name"),
    ),
}
# The settings' keys of a plan, and the fields of `interface.Plan` that they fill.
PLAN_FIELDS = {
    "worth_factor": "priority_factor",
    "weight": "fair_share_weight",
    "usual_rate": "expected_units_per_s",
    "reserve": "reserved_units_per_s",
    "limit": "limit_units_per_s",
    "limit_burst": "limit_burst_units",
}
EXCLUSIVE_KEYS = {"volume": (("pool", "shards"),)}  # keys of which a nearer layer's sets the other's aside
RESERVED_WORDS = (
    "include",
    "let",
    "template",
    "defaults",
    "from",
)  # of the language: no block has such a name
