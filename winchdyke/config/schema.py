"""The schema of the settings: the kinds of blocks and their keys.

The checker, the serializer, the semantic diff and the reference page are all derived from this table.
"""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.config import types as t

MS, SECONDS = 1.0, 1000.0


@dataclass(frozen=True)
class Key:
    """A key: its type, its default as written in a file (None: the key is required), its description."""

    type: t.Type
    default: str | None
    doc: str
    refers_to: str = ""  # the kind of block that the value names; empty if it names none


@dataclass(frozen=True)
class BlockKind:
    """A kind of block.

    ``name`` is the type of the block's name; None: the block is unnamed and occurs once at most.
    """

    doc: str
    keys: dict[str, Key]
    name: t.Type | None = None
    required: bool = False


def _time(default: str | None, doc: str, low: float, high: float, allow_zero: bool = True) -> Key:
    return Key(t.Duration(usual_range=(low, high), allow_zero=allow_zero), default, doc)


NOT_GIVEN = ""  # the default of an optional key that has no value unless it is set

BLOCKS: dict[str, BlockKind] = {
    "gateway": BlockKind(
        "This gateway, and how many gateways serve the same volumes.",
        {
            "name": Key(
                t.Type(),
                "gateway",
                "Name of the gateway; it is logged and sent to stores and the list service.",
            ),
            "index": Key(t.Count(), "0", "Index of this gateway: from 0, and less than `gateways`."),
            "gateways": Key(t.Count(low=1), "1", "Number of gateways in the deployment."),
            "zone": Key(t.Type(), '""', "Zone of this gateway."),
            "seed": Key(t.Count(), "1", "Seed of the random number generator."),
            "port_file": Key(t.Type(), '""', "File to which the gateway writes its address once it listens."),
        },
    ),
    "listener": BlockKind(
        "An address that clients connect to; a file may have several listeners.",
        {"address": Key(t.Address(), None, "HOST:PORT to listen on; with port 0 the system chooses one.")},
        t.Type("name"),
        required=True,
    ),
    "log": BlockKind(
        "The log, which is written to standard error.",
        {
            "form": Key(
                t.OneOf(allowed=("json", "console", "none")),
                "json",
                "Format: JSON lines, human-readable lines, or no log.",
            ),
            "access": Key(t.Flag(), "yes", "Whether each request is logged (access log)."),
        },
    ),
    "accounts": BlockKind(
        "The ledger, which records how long requests waited and for which others; without a folder there is no ledger.",
        {
            "folder": Key(t.Type(), '""', "Directory of the ledger's segments."),
            "segment_bytes": Key(t.Size(usual_range=(65536, 1 << 30)), "16MiB", "Maximum size of a segment."),
            "segment_time": _time(
                "10m",
                "Age at which a segment is closed and the next one begun.",
                SECONDS,
                24 * 3600 * SECONDS,
                allow_zero=False,
            ),
            "total_bytes": Key(
                t.Size(), "1GiB", "Maximum size of the ledger; the oldest segments are deleted first."
            ),
            "keep_accounts": _time(
                "168h",
                "Age at which the accounts of single requests are replaced by sums per minute.",
                SECONDS,
                400 * 24 * 3600 * SECONDS,
                allow_zero=False,
            ),
            "sync": _time(
                "200ms",
                "Maximum time until written records are synced to disk.",
                10 * MS,
                60 * SECONDS,
                allow_zero=False,
            ),
        },
    ),
    "changes": BlockKind(
        "The change log: versions of plans, volumes, routes and pools that are changed in service. Without a folder the"
        " settings change only at a restart.",
        {
            "folder": Key(t.Type(), '""', "Directory of the change log, accessible to its owner only."),
            "keep": Key(
                t.Count(low=2),
                "200",
                "Number of versions kept in the change log; older ones are moved to archive files beside it.",
            ),
            "clocks_apart": _time(
                "2s",
                "Maximum difference between the clocks of gateways when a change is applied at a set time.",
                10 * MS,
                60 * SECONDS,
            ),
        },
    ),
    "writeback": BlockKind(
        "The write-back log, which lets the gateway acknowledge writes before the stores have them. Without a folder there"
        " is none.",
        {
            "folder": Key(t.Type(), '""', "Directory of the log; gateways must not share one."),
            "classes": Key(
                t.Many("classes", of=t.Type()),
                NOT_GIVEN,
                "Classes whose writes of whole objects are acknowledged from the log.",
            ),
            "segment_bytes": Key(
                t.Size(usual_range=(1 << 20, 1 << 30)), "16MiB", "Maximum size of a segment."
            ),
            "total_bytes": Key(
                t.Size(), "1GiB", "Maximum size of the log; writes are refused while it is full."
            ),
            "record_bytes": Key(
                t.Size(),
                "1MiB",
                "Largest object that is logged; larger ones are written straight to their stores.",
            ),
            "wide": Key(
                t.Count(low=1),
                "4",
                "Maximum records in flight to one shard; 1 while live requests wait for the shard, except for urgent records.",
            ),
            "urgent": _time(
                "60s",
                "Age from which a record is urgent and sent before others.",
                MS,
                3600 * SECONDS,
                allow_zero=False,
            ),
            "remember": _time(
                "1h",
                "How long the gateway itself answers a repeated Idempotency-Key.",
                SECONDS,
                24 * 3600 * SECONDS,
            ),
            "clock_bound": _time(
                "250ms",
                "Bound on the difference of two gateways' clocks; writes of one object that are closer can't be ordered.",
                MS,
                60 * SECONDS,
            ),
        },
    ),
    "admin": BlockKind(
        "The admin API, which changes settings in service; it needs the change log (`changes, folder`).",
        {
            "socket": Key(
                t.Type(),
                '""',
                "Path of the unix socket; by default admin.sock in the change log's directory. `none`: no socket.",
            ),
            "listen": Key(t.Address(), NOT_GIVEN, "HOST:PORT for signed requests over TCP; requires `keys`."),
            "keys": Key(
                t.Type(),
                '""',
                "File with the keys of the admin API, readable by its owner only; see `winchdyke keys`.",
            ),
        },
    ),
    "fleet": BlockKind(
        "Membership of gateways; off unless `listen` is given. See docs/fleet.md.",
        {
            "listen": Key(
                t.Address(),
                NOT_GIVEN,
                "HOST:PORT for datagrams (UDP) and full exchanges (TCP) of other gateways.",
            ),
            "advertise": Key(
                t.Type(),
                '""',
                "HOST:PORT at which other gateways reach this one, if it differs from `listen`.",
            ),
            "seeds": Key(
                t.Many("addresses", of=t.Address()),
                NOT_GIVEN,
                "Addresses of gateways that are contacted to join. Host names are resolved at every try.",
            ),
            "list": Key(
                t.Url(),
                NOT_GIVEN,
                "A list service (docs/node-list.md) that lists the gateways' `fleet` addresses; they are seeds too.",
            ),
            "keys": Key(
                t.Type(),
                '""',
                "File of keys, readable by its owner only (`winchdyke keys new`). The first valid key seals messages, every valid"
                " key opens them.",
            ),
            "keep": Key(
                t.Type(),
                '""',
                "Directory, used for nothing else, where the members are cached for the next start.",
            ),
            "interval": _time(
                "1s",
                "Interval between probes; each probe checks one member.",
                50 * MS,
                60 * SECONDS,
                allow_zero=False,
            ),
            "timeout": _time(
                "300ms",
                "Time limit of a direct probe; the rest of the interval is for indirect probes.",
                MS,
                30 * SECONDS,
                allow_zero=False,
            ),
            "exchange": _time(
                "30s",
                "Interval between full state exchanges, each with one member.",
                100 * MS,
                3600 * SECONDS,
                allow_zero=False,
            ),
            "forget": _time(
                "10m",
                "How long members that are dead or have left are remembered.",
                SECONDS,
                24 * 3600 * SECONDS,
                allow_zero=False,
            ),
        },
    ),
    "peer": BlockKind(
        "The address of a gateway, by its name, as reached from here; it overrides the address that the member announces.",
        {"address": Key(t.Address(), None, "HOST:PORT of the gateway's `fleet` listener.")},
        t.Type("name"),
    ),
    "tls": BlockKind(
        "TLS of the listeners that clients connect to. The files are reloaded when they change.",
        {
            "certificate": Key(t.Type(), '""', "PEM file with the certificate and its chain."),
            "key": Key(t.Type(), '""', "PEM file with the certificate's private key."),
            "least": Key(t.OneOf(allowed=("1.2", "1.3")), "1.2", "Minimum TLS version."),
            "clients": Key(
                t.Type(),
                '""',
                "PEM file with the CAs of client certificates; if given, every client must present one.",
            ),
            "on": Key(
                t.OneOf(allowed=("s3", "all")), "s3", "Listeners that use TLS: the S3 listener only, or all."
            ),
            "stores": Key(
                t.Type(),
                '""',
                "PEM file with the CAs of store certificates; if given, stores are connected to over TLS only.",
            ),
        },
    ),
    "s3": BlockKind(
        "The S3 API, on a listener of its own.",
        {
            "listen": Key(t.Address(), NOT_GIVEN, "HOST:PORT to listen on; without it there is no S3 API."),
            "domain": Key(t.Type(), '""', "Domain whose subdomains are bucket names (virtual-hosted style)."),
            "keys": Key(
                t.Type(), '""', "File of access keys, readable by its owner only; see `winchdyke access`."
            ),
            "master": Key(
                t.Type(), '""', "File with the master key that encrypts the secrets of access keys."
            ),
            "unsigned": Key(
                t.OneOf(allowed=("none", "read", "all")),
                "none",
                "Requests accepted without a signature: none, reads, or all.",
            ),
            "part_least": Key(
                t.Size(), "5MiB", "Minimum size of each part of a multipart upload except the last."
            ),
            "parts_at_once": Key(
                t.Count(low=1),
                "4",
                "Parts of one upload submitted to the scheduler at the same time; the rest queue.",
            ),
            "ranges_at_once": Key(
                t.Count(low=1),
                "8",
                "Ranges of one object submitted to the scheduler at the same time; the rest queue.",
            ),
            "upload_keep": _time(
                "168h",
                "Idle time after which a multipart upload is deleted.",
                60 * SECONDS,
                90 * 24 * 3600 * SECONDS,
            ),
        },
    ),
    "nodes": BlockKind(
        "The list service, which lists the stores, and the sources used when it fails.",
        {
            "list": Key(t.Url(), None, "URL of the list service."),
            "discovery": Key(
                t.OneOf(allowed=("pushed", "asked")),
                "pushed",
                "Whether the service pushes changes or the gateway asks for them.",
            ),
            "wait": _time(
                "10s",
                "How long the service may hold a request for changes open (long polling).",
                100 * MS,
                120 * SECONDS,
            ),
            "timeout": _time(
                "2s",
                "Time limit of a request to the service, in addition to `wait`.",
                50 * MS,
                30 * SECONDS,
                allow_zero=False,
            ),
            "form": Key(
                t.OneOf(allowed=("token", "index")),
                "token",
                "How changes are requested: since a token, or as a blocking query by index.",
            ),
            "keep": Key(
                t.Type(),
                '""',
                "Directory, used for nothing else, where the list is cached for a start without the list service.",
            ),
            "file": Key(
                t.Type(), '""', "File with a list, watched for changes; used when the list service fails."
            ),
            "srv": Key(t.Type(), '""', "DNS name whose SRV records (SHARD.NAME) are the list; used last."),
            "dns": Key(t.Type(), '"127.0.0.1:53"', "DNS server for the SRV records, as ADDRESS:PORT."),
            "vanish_share": Key(
                t.Share(),
                "50%",
                "Largest share of the nodes that a new list may omit before the list is doubted.",
            ),
            "hold": _time(
                "5m",
                "How long nodes that a doubted list omits stay in service while they still answer.",
                SECONDS,
                24 * 3600 * SECONDS,
            ),
        },
        required=True,
    ),
    "limits": BlockKind(
        "Limits on the resources of this gateway that clients and stores may use.",
        {
            "header_bytes": Key(
                t.Size(usual_range=(1024, 1 << 20)), "16KiB", "Maximum size of a request head."
            ),
            "header_timeout": _time(
                "10s",
                "Time limit for receiving a request head, from its first byte.",
                100 * MS,
                120 * SECONDS,
            ),
            "idle_timeout": _time(
                "75s",
                "Time after which a client connection without requests is closed.",
                SECONDS,
                3600 * SECONDS,
            ),
            "stream_idle": _time(
                "30s", "Time that a body transfer may make no progress.", 100 * MS, 600 * SECONDS
            ),
            "answer_margin": _time(
                "25ms",
                "Time subtracted from a request's deadline for sending the response back.",
                0.0,
                500 * MS,
            ),
            "connections": Key(t.Count(low=1), "1000", "Maximum number of client connections."),
            "body_memory": Key(
                t.Size(), "256KiB", "Part of a body buffered in memory; the rest goes to a file."
            ),
            "body_total": Key(t.Size(), "1GiB", "Maximum total size of all buffered bodies."),
            "object_bytes": Key(t.Size(), "5GiB", "Maximum size of an object."),
            "connect_timeout": _time(
                "250ms", "Time limit for connecting to a store.", MS, 5 * SECONDS, allow_zero=False
            ),
            "pool_idle": _time(
                "30s", "Time after which an idle connection to a store is closed.", 100 * MS, 3600 * SECONDS
            ),
            "pool_per_node": Key(t.Count(low=1), "32", "Maximum number of idle connections per store."),
            "tick": _time("1ms", "Resolution of the scheduler's clock.", 0.1, 100 * MS),
        },
    ),
    "rules": BlockKind(
        "Parameters of the scheduler's rules: request sizes, retries, slow start and worth.",
        {
            "mean_units": Key(t.Number(low=1e-9), "1", "Mean size of a request in units."),
            "largest_units": Key(t.Number(low=1e-9), "8", "Maximum size of a request in units."),
            "fair_worth": Key(
                t.Share(), "30%", "Factor on the worth of units beyond the reserve and within the fair share."
            ),
            "idle_worth": Key(t.Share(), "8%", "Factor on the worth of units beyond the fair share."),
            "meter": _time(
                "0", "Interval at which stores report a volume's usage; 0: no reports.", 10 * MS, 60 * SECONDS
            ),
            "max_attempts": Key(
                t.Count(low=1, high=100), "3", "Maximum number of attempts of a request, including the first."
            ),
            "may_cancel": Key(t.Flag(), "no", "Whether attempts in flight may be cancelled."),
            "max_retry_after": _time("1s", "Maximum Retry-After sent to clients.", MS, 600 * SECONDS),
            "cold_from": Key(
                t.Share(),
                "100%",
                "Share of its capacity that a store has at least when it starts (slow start).",
            ),
            "warm_after": _time(
                "0",
                "Time from a store's start until it has its full capacity.",
                100 * MS,
                3600 * SECONDS,
            ),
            "fall_multiple": Key(
                t.Number(),
                "0",
                "Multiple of its present capacity at which a store that is warming up is overloaded.",
            ),
            "fall_window": _time(
                "0",
                "Time window over which the load on a store that is warming up is measured.",
                10 * MS,
                60 * SECONDS,
            ),
            "cold_units": Key(
                t.Number(),
                "0",
                "Units that a newly started store can take within `fall_window`; 0: not stated.",
            ),
            "settle": _time(
                "0", "Pause of an order key after an attempt that may still be executing.", MS, 60 * SECONDS
            ),
            "extra_window": _time(
                "0", "Time window of the retry budget; 0: retries are not limited.", 100 * MS, 600 * SECONDS
            ),
            "extra_free": Key(t.Number(), "0", "Retries allowed in any window."),
            "extra_share": Key(
                t.Share(), "0%", "Further retries in a window, as a share of the requests accepted in it."
            ),
        },
    ),
    "class": BlockKind(
        "A class of requests: its worth, its aim and deadline, and whether a request may be repeated.",
        {
            "operations": Key(
                t.Many("operations", of=t.OPERATION),
                NOT_GIVEN,
                "Operations that belong to the class by default.",
            ),
            "also": Key(
                t.Many("operations", of=t.OPERATION),
                NOT_GIVEN,
                "Further operations that belong to the class if the client or a route selects it.",
            ),
            "worth": Key(t.Number(), "1", "Value of a request that is served within `aim`."),
            "aim": _time(
                None,
                "Latency objective: the latency up to which a response has its full worth.",
                MS,
                60 * SECONDS,
                allow_zero=False,
            ),
            "deadline": _time(
                None,
                "Latency beyond which a response is worth nothing because the client has given up.",
                10 * MS,
                600 * SECONDS,
                allow_zero=False,
            ),
            "late_share": Key(t.Share(), "0%", "Share of the worth that a response after `aim` still has."),
            "effect": Key(
                t.OneOf(allowed=("idempotent", "keyed", "at-most-once")),
                None,
                "Effect of a repeated execution: none; none while the store remembers the idempotency key; or harmful.",
            ),
            "scope": Key(
                t.OneOf(allowed=("all", "zone", "cell")),
                "cell",
                "Stores that share the memory of idempotency keys: all, those of a zone, or those of a shard (`cell`).",
            ),
            "memory": _time(
                "0", "How long stores remember an idempotency key.", 100 * MS, 24 * 3600 * SECONDS
            ),
            "streamed": Key(t.Flag(), "no", "Whether responses are long streams."),
            "in_order": Key(
                t.Flag(), "no", "Whether requests of one key are executed one at a time, in order of arrival."
            ),
            "writes": Key(t.Flag(), "no", "Whether requests modify stored data."),
            "unit_bytes": Key(t.Size(), "64KiB", "Body bytes that count as one unit."),
            "usual_units": Key(t.Number(), "1", "Units of a request whose size is not known in advance."),
        },
        t.Type("name"),
        required=True,
    ),
    "plan": BlockKind(
        "The entitlements of each volume of a plan, over all gateways and stores.",
        {
            "worth_factor": Key(t.Number(), "1", "Factor on the worth of the volume's requests."),
            "weight": Key(
                t.Number(), "1", "Weight of the volume in sharing the capacity beyond all reserves."
            ),
            "usual_rate": Key(t.Rate(), "0", "Rate that the volume is sized for."),
            "reserve": Key(t.Rate(), "0", "Rate up to which requests have their full worth."),
            "limit": Key(t.Rate(), "0", "Rate that the volume never exceeds; 0: no limit."),
            "limit_burst": Key(t.Number(), "0", "Units that `limit` admits as a burst."),
        },
        t.Type("name"),
        required=True,
    ),
    "pool": BlockKind(
        "A named set of shards.",
        {"shards": Key(t.Shards(), None, "The shards, such as 0-3, 7.")},
        t.Type("name"),
    ),
    "store": BlockKind(
        "Properties of a store that are known in advance. The list service decides which stores exist.",
        {
            "shard": Key(t.Count(high=100_000), None, "Shard that the store holds."),
            "capacity": Key(t.Rate(), "0", "Capacity when warmed up; 0: not known."),
            "answers_in": _time("0", "Usual response time; 0: not known.", 0.05, 10 * SECONDS),
        },
        t.Address(),
    ),
    "volume": BlockKind(
        "Settings of one volume, or of all volumes whose names start with a prefix (`school-*`). The longest match wins.",
        {
            "plan": Key(t.Type("name"), None, "Plan of the volume.", "plan"),
            "pool": Key(t.Type("name"), NOT_GIVEN, "Pool of shards that hold the volume's objects.", "pool"),
            "shards": Key(t.Shards(), NOT_GIVEN, "Shards that hold the volume's objects, instead of a pool."),
            "gateways": Key(t.Count(low=1), "1", "Number of gateways that receive the volume's requests."),
        },
        t.Pattern(),
        required=True,
    ),
    "route": BlockKind(
        "Assigns a class or a pool to matching requests. Of several matching routes the one with the highest priority wins;"
        " then the one with the more specific volume, key, header, size and method, in this order; then the first by name.",
        {
            "priority": Key(t.Count(low=-1000, high=1000), "0", "Routes with a higher priority win."),
            "volume": Key(t.Pattern(), "*", "Volume name, or a prefix of it followed by *."),
            "key": Key(t.Type("text"), '""', "Prefix of the object's key; empty: any key."),
            "method": Key(t.Many("methods", of=t.METHOD), NOT_GIVEN, "Methods; without it, any method."),
            "header": Key(t.Header(), NOT_GIVEN, "Header and its value, as NAME: VALUE."),
            "size": Key(t.Sizes(), NOT_GIVEN, "Range of the declared body length."),
            "class": Key(t.Type("name"), NOT_GIVEN, "Class assigned to the requests.", "class"),
            "pool": Key(t.Type("name"), NOT_GIVEN, "Pool that holds the objects of the requests.", "pool"),
        },
        t.Type("name"),
    ),
}
# The keys of a plan block, with the field of `interface.Plan` that each one sets.
PLAN_FIELDS = {
    "worth_factor": "priority_factor",
    "weight": "fair_share_weight",
    "usual_rate": "expected_units_per_s",
    "reserve": "reserved_units_per_s",
    "limit": "limit_units_per_s",
    "limit_burst": "limit_burst_units",
}
# Pairs of keys: one that is set in a closer layer (block, then template, then defaults) overrides the other.
EXCLUSIVE_KEYS = {"volume": (("pool", "shards"),)}
# Words of the language; no block may have one as its name.
RESERVED_WORDS = ("include", "let", "template", "defaults", "from")
