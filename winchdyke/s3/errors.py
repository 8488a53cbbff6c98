"""What S3 clients are told when a request is not done: codes, statuses, and the words of the gateway's own reasons. Pure."""

from __future__ import annotations

STATUS = {
    "AccessDenied": 403, "SignatureDoesNotMatch": 403, "InvalidAccessKeyId": 403, "RequestTimeTooSkewed": 403,
    "NoSuchBucket": 404, "NoSuchKey": 404, "NoSuchUpload": 404, "MethodNotAllowed": 405, "BucketAlreadyOwnedByYou": 409,
    "BucketNotEmpty": 409, "OperationAborted": 409, "ConditionalRequestConflict": 409, "MissingContentLength": 411,
    "PreconditionFailed": 412, "InvalidRange": 416, "InternalError": 500, "NotImplemented": 501, "SlowDown": 503,
    "ServiceUnavailable": 503, "RequestTimeout": 400, "EntityTooLarge": 400,
}  # fmt: skip  # all others: 400
OWN = {  # the gateway's reason codes, where no store answered
    "body-cut": "IncompleteBody", "body-slow": "RequestTimeout", "too-large": "EntityTooLarge", "no-volume": "NoSuchBucket",
    "no-class": "NotImplemented", "key-in-use": "OperationAborted", "bad-path": "InvalidArgument", "internal": "InternalError",
}  # fmt: skip


class S3Error(Exception):
    """A request that is answered with an S3 error: its code, words and status."""

    def __init__(self, code: str, text: str, status: int = 0, retry_after_ms: float | None = None) -> None:
        super().__init__(text)
        self.code, self.text = code, text
        self.status = status or STATUS.get(code, 400)
        self.retry_after_ms = retry_after_ms


def of_final(status: int, outcome: str, reason: str, text: str, after_ms: float | None) -> S3Error:
    """What a client is told where the scheduler's answer was no store's: to slow down, or that nothing is promised."""
    if outcome == "refused" and status == 503:
        return S3Error("SlowDown", f"please reduce your request rate ({reason})", 503, after_ms or 1000.0)
    if reason in OWN:
        return S3Error(OWN[reason], text or reason)
    # Nothing is promised: it may have been done. Clients repeat what may be repeated.
    return S3Error("InternalError" if status != 504 else "ServiceUnavailable", f"not answered in time or cut off ({reason})",
                   500 if status != 504 else 503)  # fmt: skip
