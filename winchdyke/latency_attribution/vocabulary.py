"""Names of phases, causes, holders and outcomes, as stored in ledgers and shown in reports: the values must not change."""

from __future__ import annotations

# Phases of a request.
PHASE_ARRIVING = "arriving"  # the request head is being parsed
PHASE_QUEUED = "held"  # in the gateway's queue; divided by cause
PHASE_CONNECT = "dial"  # connecting to the store
PHASE_SEND = "send"  # sending the request to the store
PHASE_BODY = "body"  # waiting for the client's body
PHASE_UPSTREAM = "store"  # waiting for the store's response
PHASE_RESPONSE = "answer"  # receiving the store's response
PHASE_CLIENT = "client"  # sending the response to the client
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
CAUSE_TURN = "turn"  # waiting for the next turn of the scheduler, with no other cause
CAUSE_CONCURRENCY_LIMIT = "window"
CAUSE_FAIR_SHARE = "share"
CAUSE_LIMIT_BACKOFF = "pause"
CAUSE_SLOW_START = "cold"
CAUSE_HEALTH_CHECK = "trial"  # the endpoint is suspected, and a single request is let through to check it
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

# Outcomes of requests, and of attempts without a response, which may have been executed.
OUTCOME_SERVED = "served"
OUTCOME_REJECTED = "refused"
OUTCOME_FAILED = "failed"
NO_RESPONSE_OUTCOMES = frozenset({"store-reset", "timed-out"})

# A holder of the capacity that a request waits for: kind (a KIND_ value), name, request class or detail.
Holder = tuple[str, str, str]
TURN_HOLDER: Holder = (KIND_DESIGN, "gateway", CAUSE_TURN)
OTHER_HOLDERS: Holder = (KIND_OTHERS, "folded", "")
OTHER_VOLUMES = "(others)"  # volumes without figures of their own
