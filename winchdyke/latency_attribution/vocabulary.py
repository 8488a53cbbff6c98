"""The words for phases, causes and holders that are stored in ledgers and shown in reports. They must not change."""

from __future__ import annotations

# Phases of a request.
PHASE_ARRIVING = "arriving"  # its head is being parsed
PHASE_QUEUED = "held"  # waiting at this gateway; divided by cause
PHASE_CONNECT = "dial"  # a connection to the store
PHASE_SEND = "send"  # the request on its way to the store
PHASE_BODY = "body"  # waiting for the client's body
PHASE_UPSTREAM = "store"  # waiting for the store's response
PHASE_RESPONSE = "answer"  # the store's response on its way
PHASE_CLIENT = "client"  # the client reads its response
PHASES = (
    PHASE_ARRIVING,
    PHASE_QUEUED,
    PHASE_CONNECT,
    PHASE_SEND,
    PHASE_BODY,
    PHASE_UPSTREAM,
    PHASE_RESPONSE,
    PHASE_CLIENT,
)
PHASE_CODES = {phase: code for code, phase in enumerate(PHASES)}
PHASES_AT_STORE = (PHASE_CONNECT, PHASE_SEND, PHASE_BODY, PHASE_UPSTREAM, PHASE_RESPONSE)

# Causes of a wait in the queue.
CAUSE_TURN = "turn"  # nothing but the gateway's own turns
CAUSE_CONCURRENCY_LIMIT = "window"
CAUSE_FAIR_SHARE = "share"
CAUSE_LIMIT_BACKOFF = "pause"
CAUSE_SLOW_START = "cold"
CAUSE_HEALTH_CHECK = "trial"  # the endpoint is suspected and one request is let through to check it
CAUSE_NO_ENDPOINT = "no-node"
CAUSE_QUOTA = "limit"
CAUSE_KEY_ORDER = "order"
CAUSE_RETRY_BUDGET = "budget"
CAUSE_REPEAT_SAFETY = "repeat"

# Kinds of holders, and details of them.
KIND_VOLUME = "volume"
KIND_ENDPOINT = "node"
KIND_DESIGN = "design"  # a rule of the scheduler
KIND_OTHERS = "others"
DETAIL_SLOW = "slow"
DETAIL_SUSPECTED = "suspect"
DETAIL_NO_ENDPOINT = "none"
DETAIL_QUOTA = "limit"

# Outcomes of requests, and of attempts that may have run without a response.
OUTCOME_SERVED = "served"
OUTCOME_REJECTED = "refused"
OUTCOME_FAILED = "failed"
NO_RESPONSE_OUTCOMES = frozenset({"store-reset", "timed-out"})

# What takes up the capacity that a request waits for: kind (volume, endpoint, design), name, class or detail.
Holder = tuple[str, str, str]
TURN_HOLDER: Holder = (KIND_DESIGN, "gateway", CAUSE_TURN)
OTHER_HOLDERS: Holder = (KIND_OTHERS, "folded", "")
OTHER_VOLUMES = "(others)"  # volumes without figures of their own
