"""A client sends some requests at once on one connection; each is owed its answer."""

from __future__ import annotations

import asyncio

import common
from platform_rig import Deployment, unread_at

REQUESTS = 6
BODY_BYTES = 32 * 1024  # the page: no more than 64 KiB


async def play(case: common.Case) -> None:
    """Play the case."""
    fleet = Deployment(case)
    await fleet.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
    requests = [
        fleet.request("submit", shard=number % 4, body=bytes(BODY_BYTES)) for number in range(REQUESTS)
    ]
    ids = [request_id for request_id, _ in requests]
    answers: dict[str, common.Answer] = {}
    if case.trouble:
        writer.write(b"".join(data for _, data in requests))
        await writer.drain()
        case.note("client", "sent all at once", requests=REQUESTS)
        await asyncio.sleep(0.03)
        case.note("client", "unread at the gateway", bytes=unread_at(fleet.port, writer))
    for request_id, data in requests:
        if not case.trouble:
            writer.write(data)
            await writer.drain()
            case.note("client", "sent", id=request_id)
        answer = await common.read_answer(reader, 6.0)
        case.note(
            "client",
            "answer",
            id=request_id,
            status=answer.status,
            reason=answer.headers.get("winchdyke-reason", "-"),
            error=answer.error or "-",
        )
        answers[request_id] = answer
    for request_id in ids:
        if not answers[request_id].status:
            case.broken(f"request {request_id} has no answer: {answers[request_id].error}")
    writer.close()


common.run(__file__, play)
