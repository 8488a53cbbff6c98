"""A corpus of broken settings: a change to a valid file, and the diagnostic that it must cause.

Each case: name, replaced text, replacement, diagnostic code, part of the message, part of the fix, and part of the changed
line that the diagnostic must point to. Alternatives are separated by ``|``.
"""

from __future__ import annotations

GOOD = """# A gateway for two schools.
let aim = 400ms

gateway {
    name = gw-1
    gateways = 3
    index = 1
}

listener main {
    address = 127.0.0.1:8080
}

listener inside {
    address = 127.0.0.1:8081
}

nodes {
    list = http://127.0.0.1:7000/nodes
    wait = 10s
}

limits {
    header_bytes = 16KiB
    body_total = 1GiB
    connect_timeout = 250ms
}

rules {
    largest_units = 8
    fair_worth = 30%
    extra_window = 5s
    extra_share = 10%
}

template read {
    effect = idempotent
    late_share = 10%
}

class fetch from read {
    operations = get, head, list
    aim = $aim
    deadline = 3s
}

class submit {
    operations = put, post, delete
    effect = keyed
    memory = 4s
    aim = 500ms
    deadline = 2500ms
}

class import from read {
    also = put
    aim = 2s
    deadline = 10s
}

defaults plan {
    weight = 2
}

plan basic {
    usual_rate = 40 units/s
    limit = 240 units/s
    limit_burst = 480
}

plan school {
    reserve = 64 units/s
}

pool main {
    shards = 0-5
}

pool slow {
    shards = 6, 7
}

store 127.0.0.1:5003 {
    shard = 3
    capacity = 250 units/s
}

volume school-* {
    plan = school
    pool = main
    gateways = 2
}

volume * {
    plan = basic
    shards = 0-7
}

route archive {
    volume = school-*
    key = "archive/"
    pool = slow
}

route large {
    method = PUT
    size = over 1MiB
    header = X-Kind: import
    class = import
}
"""

# fmt: off
CASES: list[tuple[str, str, str, str, str, str, str]] = [
    ('bare time', 'deadline = 3s', 'deadline = 3', 'no-unit', "'3' has no unit", '3ms', 'deadline = 3'),
    ('unknown time unit', 'deadline = 3s', 'deadline = 3sec', 'bad-unit', "'sec' is not a unit of time", 'ms, s, m, h', '3sec'),
    ('size for time', 'deadline = 3s', 'deadline = 3KiB', 'bad-unit', 'unit of size, not of time', '400ms', '3KiB'),
    ('time for size', 'header_bytes = 16KiB', 'header_bytes = 16ms', 'bad-unit', 'unit of time, not of size', '64KiB', '16ms'),
    ('size unit short', 'header_bytes = 16KiB', 'header_bytes = 16K', 'bad-unit', "'K' is not a unit of size", '16KiB', '16K'),
    ('size unit odd', 'header_bytes = 16KiB', 'header_bytes = 16KB', 'bad-unit', "'KB' is not a unit of size", '16kB', '16KB'),
    ('size unit case', 'body_total = 1GiB', 'body_total = 1Gib', 'bad-unit', "'Gib' is not a unit of size", 'MiB', '1Gib'),
    ('bare size', 'header_bytes = 16KiB', 'header_bytes = 16', 'no-unit', "'16' has no unit", '16KiB', '= 16'),
    ('comma in time', 'deadline = 3s', 'deadline = 1,5s', 'too-many-values', 'takes one value', '1.5s', '1,5s'),
    ('comma in number', 'limit_burst = 480', 'limit_burst = 480,5', 'too-many-values', 'takes one value', '480.5', '480,5'),
    ('negative time', 'deadline = 3s', 'deadline = -3s', 'out-of-range', "'-3s' is not greater than 0", 'greater than 0', '-3s'),
    ('zero deadline', 'deadline = 3s', 'deadline = 0', 'out-of-range', "'0' is not greater than 0", 'greater than 0', 'deadline = 0'),
    ('negative size', 'header_bytes = 16KiB', 'header_bytes = -1KiB', 'out-of-range', 'is less than 0', '0 or more', '-1KiB'),
    ('time overflow', 'deadline = 3s', 'deadline = 9999999999999999999999999999999999999999h', 'out-of-range', 'longer than 300 years', 'shorter', '9999'),
    ('size overflow', 'body_total = 1GiB', 'body_total = 9999999999999999999999999999999999999999GiB', 'out-of-range', 'larger than any', 'smaller', '9999'),
    ('float overflow', 'deadline = 3s', 'deadline = 9999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999999h', 'bad-number', 'is too large', '400ms', '9999'),
    ('NaN time', 'deadline = 3s', 'deadline = nan', 'bad-number', "'nan' is not a number", '400ms', 'nan'),
    ('NaN number', 'limit_burst = 480', 'limit_burst = nan', 'out-of-range', "'nan' is not a number", 'plain number', 'nan'),
    ('infinite', 'limit_burst = 480', 'limit_burst = inf', 'out-of-range', "'inf' is not a number", 'plain number', 'inf'),
    ('exponent in time', 'deadline = 3s', 'deadline = 3e3ms', 'bad-number', 'not a number with a unit', '400ms', '3e3ms'),
    ('word for time', 'deadline = 3s', 'deadline = soon', 'bad-number', "'soon' is not a number", '400ms', 'soon'),
    ('bare rate', 'limit = 240 units/s', 'limit = 240', 'no-unit', "'240' has no unit", '240 units/s', 'limit = 240'),
    ('wrong rate', 'limit = 240 units/s', 'limit = 240 req/s', 'bad-unit', 'is not a unit of rate', '240 units/s', 'req/s'),
    ('rate in minutes', 'limit = 240 units/s', 'limit = 240 units/m', 'bad-unit', 'is not a unit of rate', '240 units/s', 'units/m'),
    ('negative rate', 'limit = 240 units/s', 'limit = -2 units/s', 'out-of-range', 'is not a number from 0', '0 or more', '-2'),
    ('bare share', 'fair_worth = 30%', 'fair_worth = 0.3', 'no-unit', 'is not a percentage', '30%', '0.3'),
    ('share over', 'fair_worth = 30%', 'fair_worth = 130%', 'out-of-range', '0% to 100%', '0% to 100%', '130%'),
    ('share negative', 'extra_share = 10%', 'extra_share = -1%', 'out-of-range', '0% to 100%', '0% to 100%', '-1%'),
    ('count with unit', 'gateways = 3\n', 'gateways = 3s\n', 'out-of-range', 'not a whole number', 'with no unit', '3s'),
    ('count float', 'gateways = 3\n', 'gateways = 2.5\n', 'out-of-range', 'not a whole number', 'whole number', '2.5'),
    ('count zero', 'gateways = 3\n', 'gateways = 0\n', 'out-of-range', 'from 1 to', 'whole number', 'gateways = 0'),
    ('not a flag', 'weight = 2\n}', 'weight = 2\n}\nlog {\n    access = true\n}', 'unknown-word', "'true' is neither yes nor no", 'write yes', 'access = true'),
    ('key misspelt', 'deadline = 3s', 'dedline = 3s', 'unknown-key', "'dedline' is not a key", "'deadline'", 'dedline'),
    ('key of another kind', 'weight = 2', 'shards = 2', 'unknown-key', "'shards' is not a key of a plan", 'valid here', 'shards = 2'),
    ('kind misspelt', 'plan basic {', 'pln basic {', 'unknown-block', "'pln' is not a kind of block", "'plan'", 'pln basic'),
    ('kind in capitals', 'pool main {', 'Pool main {', 'unknown-block', "'Pool' is not a kind", "'pool'", 'Pool main'),
    ('effect misspelt', 'effect = keyed', 'effect = keeyd', 'unknown-word', "'keeyd' is not one of", "'keyed'", 'keeyd'),
    ('operation misspelt', 'get, head, list', 'get, haed, list', 'unknown-word', "'haed' is not one of", "'head'", 'haed'),
    ('method misspelt', 'method = PUT', 'method = PTU', 'unknown-word', "'PTU' is not one of", "'PUT'", 'PTU'),
    ('method in small', 'method = PUT', 'method = put', 'unknown-word', "'put' is not one of", "'PUT'", '= put'),
    ('plan undefined', 'plan = school', 'plan = shcool', 'undefined', "no plan 'shcool'", "'school'", 'shcool'),
    ('pool undefined', 'pool = slow', 'pool = slwo', 'undefined', "no pool 'slwo'", "'slow'", 'slwo'),
    ('class undefined', 'class = import', 'class = imprt', 'undefined', "no class 'imprt'", "'import'", 'imprt'),
    ('template undefined', 'class import from read', 'class import from raed', 'undefined', "no template 'raed'", "'read'", 'raed'),
    ('value undefined', 'aim = $aim', 'aim = $iam', 'undefined', 'no named value $iam', "'aim'", '$iam'),
    ('defaults for nothing', 'defaults plan {', 'defaults plna {', 'bad-block', 'defaults must name a kind of block', "'plan'", 'plna'),
    ('no name', 'plan basic {', 'plan {', 'bad-block', 'a plan needs a name', 'plan NAME {', 'plan {'),
    ('two names', 'plan basic {', 'plan basic two {', 'bad-block', 'a plan has one name', 'plan NAME {', 'basic two'),
    ('a name too many', 'gateway {', 'gateway one {', 'bad-block', 'takes no name', 'gateway {', 'gateway one'),
    ('template with no name', 'template read {', 'template {', 'bad-block', 'a template has one name', 'template NAME', 'template {'),
    ('from nothing', 'class import from read {', 'class import from {', 'bad-block', 'must be followed by one template', 'from TEMPLATE', 'import from'),
    ('keyword as name', 'plan basic {', 'plan from {', 'bad-block', 'from must be followed', 'from TEMPLATE', 'plan from'),
    ('kind as name', 'pool main {', 'pool class {', 'keyword', "'class' is a reserved word", 'another name', 'pool class'),
    ('let keyword', 'let aim = 400ms', 'let include = 400ms', 'keyword', "'include' is a reserved word", 'another name', 'let include'),
    ('look-alike plan', 'plan school {', 'plan sсhool {', 'look-alike', 'U+0441, CYRILLIC SMALL LETTER ES', 'look alike', 'plan s'),
    ('look-alike class', 'class fetch from', 'class fеtch from', 'look-alike', 'CYRILLIC SMALL LETTER IE', 'look alike', 'class f'),
    ('greek name', 'pool slow {', 'pool slοw {', 'look-alike', 'GREEK SMALL LETTER OMICRON', 'look alike', 'pool sl'),
    ('odd name', 'pool slow {', 'pool sl/ow {', 'bad-name', "'sl/ow' is not a valid name", 'letters, digits', 'sl/ow'),
    ('star inside', 'volume school-* {', 'volume sch*ol {', 'bad-pattern', 'is neither a volume name nor a prefix', 'only at the end', 'sch*ol'),
    ('odd volume', 'volume school-* {', 'volume scho/ol {', 'bad-pattern', 'is neither a volume name nor a prefix', 'letters, digits', 'scho/ol'),
    ('key twice', 'deadline = 3s', 'deadline = 3s\n    deadline = 4s', 'twice', "'deadline' is given twice", 'the first is at', '= 4s'),
    ('block twice', 'pool slow {', 'pool main {', 'twice', "pool 'pool main' is given twice", 'the first is at', 'pool main'),
    ('single twice', 'defaults plan {', 'gateway {\n    zone = a\n}\ndefaults plan {', 'twice', 'given twice', 'merge them', 'gateway'),
    ('let twice', 'let aim = 400ms', 'let aim = 400ms\nlet aim = 300ms', 'twice', "'aim' is given twice", 'first is at', '300ms'),
    ('template twice', 'defaults plan {', 'template read {\n}\ndefaults plan {', 'twice', "'read' is given twice", 'first', 'template'),
    ('shard twice', 'shards = 6, 7', 'shards = 6, 7, 6', 'twice', "'6' contains a shard that is already listed", 'list each shard once', '6, 7, 6'),
    ('operation twice', 'get, head, list', 'get, head, get', 'twice', "'get' is given twice", 'keep one', 'head, get'),
    ('same address', '127.0.0.1:8081', '127.0.0.1:8080', 'same-address', 'has the same address', 'another port', '8080'),
    ('operation of two', 'also = put', 'operations = put', 'ambiguous', 'already belongs to class', 'also = put', 'operations = put'),
    ('no deadline', '    deadline = 3s\n', '', 'missing', 'is missing and has no default', 'deadline = 400ms', 'class fetch'),
    ('no aim', '    aim = 500ms\n', '', 'missing', 'is missing and has no default', 'aim = 400ms', 'class submit'),
    ('no effect', '    effect = keyed\n', '', 'missing', 'is missing and has no default', 'effect = idempotent', 'class submit'),
    ('no list', '    list = http://127.0.0.1:7000/nodes\n', '', 'missing', 'is missing', 'add list', 'nodes {'),
    ('no shards', '    shards = 0-7\n', '', 'missing', 'is missing and has no default', 'add shards', 'volume *'),
    ('no plan', '    plan = basic\n', '', 'missing', 'is missing', 'add plan', 'volume *'),
    ('no address', '    address = 127.0.0.1:8081\n', '', 'missing', 'is missing', '127.0.0.1:8080', 'listener inside'),
    ('no value', 'weight = 2', 'weight =', 'no-value', 'no value after =', 'write the value', 'weight ='),
    ('key alone', 'weight = 2', 'weight', 'bad-line', "'weight' has no value", 'weight = value', 'weight'),
    ('no key', 'weight = 2', '= 2', 'extra-equals', 'no key before =', 'one setting a line', '= 2'),
    ('memory missing', '    memory = 4s\n', '', 'no-memory', 'how long stores drop its repeats', 'memory = 4s', 'class submit'),
    ('no environment', 'aim = $aim', 'aim = $env:WINCHDYKE_NOT_SET', 'no-env', "the environment variable 'WINCHDYKE_NOT_SET' is not set", '|VALUE', '$env:'),
    ('string open', 'key = "archive/"', 'key = "archive/', 'open-string', 'never closed', 'end it with', 'archive/'),
    ('bad escape', 'key = "archive/"', 'key = "arch\\ive/"', 'bad-escape', 'is no escape sequence', '\\\\', 'arch'),
    ('two equals', 'weight = 2', 'weight = = 2', 'extra-equals', 'a second =', 'one setting a line', '= ='),
    ('equals inside', 'list = http://127.0.0.1:7000/nodes', 'list = http://127.0.0.1:7000/nodes?a=b', 'extra-equals', 'a second =', 'quote', '?a=b'),
    ('two commas', 'get, head, list', 'get,, head', 'stray-comma', 'comma with no value', 'single commas', 'get,, head'),
    ('comma first', 'shards = 6, 7', 'shards = , 7', 'stray-comma', 'comma with no value', 'single commas', '= , 7'),
    ('brace in setting', 'weight = 2', 'weight = {', 'stray-brace', "a { can't be part of a setting", 'no = before', 'weight = {'),
    ('equals before brace', 'pool main {', 'pool main = {', 'stray-brace', "a { can't be part of a setting", 'no = before', 'pool main'),
    ('brace missing at end', '    class = import\n}\n', '    class = import\n', 'missing-brace', 'text ends before this block is closed', 'put a }', 'class = import'),
    ('brace missing between', '    shards = 0-5\n}\n', '    shards = 0-5\n', 'missing-brace', 'a new block begins', 'put a }', 'shards = 0-5'),
    ('brace too many', '    shards = 0-5\n}\n', '    shards = 0-5\n}\n}\n', 'extra-brace', 'closes nothing', 'remove it', '}'),
    ('opening missing', 'pool main {', 'pool main', 'no-brace', 'closed below but has no {', 'write pool main {', 'pool main'),
    ('quote stray', 'weight = 2', 'weight = 2"', 'open-string', 'never closed', 'end it with', 'weight = 2"'),
    ('setting outside', 'let aim = 400ms', 'let aim = 400ms\nweight = 3', 'outside-block', 'outside of every block', 'let NAME', 'weight = 3'),
    ('block inside', 'weight = 2', 'pool inner {\n    shards = 1\n}', 'bad-line', 'is inside a defaults block|is inside a plan block', 'close', 'pool inner'),
    ('unknown line', 'let aim = 400ms', 'let aim = 400ms\nimport all', 'unknown', "no statement begins with 'import'", 'valid here|did you', 'import all'),
    ('let without value', 'let aim = 400ms', 'let aim = 400ms\nlet other', 'unknown', "no statement begins with 'let'", 'valid here|did you', 'let other'),
    ('two words before =', 'weight = 2', 'weight of = 2', 'bad-key', 'is not a key', 'write weight = of', 'weight of'),
    ('two values', 'deadline = 3s', 'deadline = 3s, 4s', 'too-many-values', 'takes one value, not 2', 'keep one', '3s, 4s'),
    ('two words', 'deadline = 3s', 'deadline = 3 s', 'too-many-words', 'takes one word', 'quote it', '3 s'),
    ('address without port', 'address = 127.0.0.1:8080', 'address = 127.0.0.1', 'bad-address', 'is not HOST:PORT', '8080', '127.0.0.1'),
    ('port too large', 'address = 127.0.0.1:8080', 'address = 127.0.0.1:80800', 'bad-address', 'is not HOST:PORT', '8080', ':80800'),
    ('no URL', 'list = http://127.0.0.1:7000/nodes', 'list = 127.0.0.1:7000', 'bad-address', 'is not a URL like', 'http://', '7000'),
    ('other scheme', 'list = http://', 'list = https://', 'bad-address', 'is not a URL like', 'http://', 'https'),
    ('shards turned', 'shards = 0-5', 'shards = 5-0', 'bad-shards', 'not a range from low to high', '0-5', '5-0'),
    ('shards by dots', 'shards = 0-5', 'shards = 0..5', 'bad-shards', 'not a shard or a range', '0-3, 7', '0..5'),
    ('store is no address', 'store 127.0.0.1:5003 {', 'store five {', 'bad-address', 'is not HOST:PORT', '8080', 'store five'),
    ('header without colon', 'header = X-Kind: import', 'header = X-Kind import', 'bad-header', 'is not a header', 'X-Kind: import', 'X-Kind'),
    ('header without value', 'header = X-Kind: import', 'header = X-Kind:', 'bad-header', 'is not a header', 'X-Kind: import', 'X-Kind:'),
    ('size turned', 'size = over 1MiB', 'size = 2MiB to 1MiB', 'out-of-range', 'is an empty range', 'smaller one first', '2MiB to'),
    ('size in signs', 'size = over 1MiB', 'size = >1MiB', 'bad-sizes|too-many-words', 'is not a range of sizes', 'over 1MiB', '>1MiB'),
    ('size bare', 'size = over 1MiB', 'size = over 1', 'no-unit', 'has no unit', '1KiB', 'over 1'),
    ('aim past deadline', 'aim = 500ms', 'aim = 4s', 'aim-past-deadline', 'longer than the deadline 2.5s', 'before its deadline', 'aim = 4s'),
    ('aim in seconds', 'let aim = 400ms', 'let aim = 400s', 'aim-past-deadline', 'was 400ms meant?', 'before its deadline', 'aim = $aim'),
    ('index too large', 'index = 1', 'index = 3', 'out-of-range', 'must be less than gateways = 3', '0 to 2', 'index = 3'),
    ('more gateways than there are', 'gateways = 2', 'gateways = 9', 'out-of-range', 'more than the 3', '3 or less', 'gateways = 9'),
    ('burst too small', 'limit_burst = 480', 'limit_burst = 4', 'burst-too-small', 'is less than largest_units', '8 or more', 'limit_burst = 4'),
    ('limit under reserve', 'usual_rate = 40 units/s', 'reserve = 300 units/s', 'limit-under-reserve', 'less than the reserve', 'raise', 'limit ='),
    ('reserves too large', 'capacity = 250 units/s', 'capacity = 25 units/s', 'reserves-too-large', 'reserves up to here add up to', 'add stores', 'plan = school'),
    ('pool and shards', '    shards = 0-7\n', '    shards = 0-7\n    pool = main\n', 'both', 'a pool is given too', 'keep one', 'shards = 0-7'),
    ('route does nothing', '    class = import\n', '', 'does-nothing', 'neither a class nor a pool', 'add class', 'route large'),
    ('pool by method', 'key = "archive/"', 'method = PUT', 'pool-by-method', 'may match on volume and key only', 'would not find', 'pool = slow'),
    ('loop of named values', 'let aim = 400ms', 'let aim = $bim\nlet bim = $aim', 'let-loop', '$aim -> $bim -> $aim', 'a value of its own', 'bim = '),
    ('several for one', 'let aim = 400ms', 'let aim = 400ms, 500ms', 'too-many-values', 'takes one value, not 2', 'keep one', '400ms, 500ms'),
    ('include of nothing', 'let aim = 400ms', 'let aim = 400ms\ninclude', 'bad-include', 'include takes one path', 'conf.d', 'include'),
    ('include in a block', 'weight = 2', 'weight = 2\n    include "x.conf"', 'include-inside', 'include is inside a block', 'move it', 'include'),
]
# fmt: on
