"""S3 error responses: codes, statuses, and the codes for the gateway's own reasons. Pure."""

from __future__ import annotations

STATUS_BY_CODE = {
    "AccessDenied": 403, "SignatureDoesNotMatch": 403, "InvalidAccessKeyId": 403, "RequestTimeTooSkewed": 403,
    "NoSuchBucket": 404, "NoSuchKey": 404, "NoSuchUpload": 404, "MethodNotAllowed": 405, "BucketAlreadyOwnedByYou": 409,
    "BucketNotEmpty": 409, "OperationAborted": 409, "ConditionalRequestConflict": 409, "MissingContentLength": 411,
    "PreconditionFailed": 412, "InvalidRange": 416, "InternalError": 500, "NotImplemented": 501, "SlowDown": 503,
    "ServiceUnavailable": 503, "RequestTimeout": 400, "EntityTooLarge": 400,
}  # fmt: skip  # all others: 400
CODE_BY_REASON = {  # S3 error codes for the gateway's reason codes, used if no store responded
    "body-cut": "IncompleteBody", "body-slow": "RequestTimeout", "too-large": "EntityTooLarge", "no-volume": "NoSuchBucket",
    "no-class": "NotImplemented", "key-in-use": "OperationAborted", "bad-path": "InvalidArgument", "internal": "InternalError",
}  # fmt: skip


class S3Error(Exception):
    """Ends a request with an S3 error response.

    Attributes:
        code: The S3 error code.
        text: The message for the client.
        status: The HTTP status; by default that of the code.
        retry_after_ms: The time for Retry-After; None: no such header.
    """

    def __init__(self, code: str, text: str, status: int = 0, retry_after_ms: float | None = None) -> None:
        super().__init__(text)
        self.code, self.text = code, text
        self.status = status or STATUS_BY_CODE.get(code, 400)
        self.retry_after_ms = retry_after_ms


def from_final_response(
    status: int, outcome: str, reason: str, text: str, retry_after_ms: float | None
) -> S3Error:
    """The error for a final response that did not come from a store."""
    if outcome == "refused" and status == 503:
        return S3Error(
            "SlowDown", f"please reduce your request rate ({reason})", 503, retry_after_ms or 1000.0
        )
    if reason in CODE_BY_REASON:
        return S3Error(CODE_BY_REASON[reason], text or reason)
    # The store may have executed the request. Clients repeat requests that are safe to repeat.
    return S3Error(
        "InternalError" if status != 504 else "ServiceUnavailable",
        f"no complete response from a store before the deadline ({reason})",
        500 if status != 504 else 503,
    )
