"""``winchdyke dev``: runs a gateway, a list service and stand-in stores in one process."""

from __future__ import annotations

import dataclasses

import anyio
import click
from anyio.abc import TaskGroup

from winchdyke.config import Config, defaults, parse
from winchdyke.config.model import Listen

STORES = 8


async def start_stand_ins(group: TaskGroup, count: int) -> int:
    """Start a list service and ``count`` listed stores; returns the port of the service."""
    from winchdyke.standins.nodelist import ListService
    from winchdyke.standins.record import Record
    from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter

    record, meter, deduplication_groups = (
        Record(),
        UsageMeter(),
        {"rack-a": DeduplicationGroup(), "rack-b": DeduplicationGroup()},
    )
    listing = ListService(record)
    await listing.start(group)
    for shard in range(count):
        rack = "rack-a" if shard < count // 2 else "rack-b"
        store = Store(
            StoreSpec(shard, rack=rack), ObjectStore(), deduplication_groups[rack], meter, record, seed=shard
        )
        await store.start(group)
        await listing.set(store.name, "ready", shard, store.spec.zone)

    async def clear_record() -> None:
        while True:
            await anyio.sleep(5)
            record.entries.clear()

    group.start_soon(clear_record)
    return listing.port


def dev_config(list_port: int, host: str, port: int) -> Config:
    """Return the embedded settings with the given list service and listen address."""
    config = parse(defaults(), "defaults.conf")
    nodes = dataclasses.replace(config.nodes, port=list_port)
    return dataclasses.replace(config, listeners=(("main", Listen(host, port)),), nodes=nodes)


@click.command("dev")
@click.option(
    "--port", type=click.IntRange(0, 65535), default=0, help="Port to listen on; 0: the system chooses one."
)
@click.option("--quiet", is_flag=True, help="Write no log.")
def command(port: int, quiet: bool) -> None:
    """Run a gateway with stand-in stores on loopback, to try it out. All data is lost when it ends."""
    from winchdyke.gateway import daemon, logs

    async def run() -> None:
        async with anyio.create_task_group() as group:
            config = dev_config(await start_stand_ins(group, STORES), "127.0.0.1", port)
            logs.configure("none" if quiet else config.log.form)

            def print_usage(gateway: daemon.Gateway) -> None:
                host, bound_port = gateway.address
                click.echo(
                    f"winchdyke dev: a gateway at http://{host}:{bound_port}, {STORES} stand-in stores. Try:"
                )
                click.echo(f"  curl -i -T README.md http://{host}:{bound_port}/school-1/hello.md")
                click.echo(f"  curl -i -r 0-99 http://{host}:{bound_port}/school-1/hello.md")
                click.echo("Stop it with Ctrl-C.")

            await daemon.serve(config, print_usage)
            group.cancel_scope.cancel()

    try:
        anyio.run(run)
    except BaseExceptionGroup as group:
        if group.split(daemon.StartError)[1] is not None:
            raise
        raise click.ClickException(f"can't listen at port {port}; choose another with --port") from None
