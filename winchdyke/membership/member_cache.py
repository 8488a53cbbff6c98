"""The members on the disk, for a start at which no seed answers: names and addresses, nothing of who is alive."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from winchdyke.durable_files import replace
from winchdyke.membership.datagrams import Address, Name

FILE_NAME = "members.json"
MAX_FILE_BYTES = 1 << 20


class KnownMember(msgspec.Struct):
    """A member that was there, and where."""

    name: Name
    address: Address


class KnownMembers(msgspec.Struct):
    """What is kept: the last life of this process's name, so that the next one is later whatever the clock says."""

    local_name: Name
    generation: int
    members: list[KnownMember] = []


def load(folder: Path) -> tuple[KnownMembers | None, str]:
    """What is kept, and what is wrong with it ("": nothing, or there is none yet)."""
    path = folder / FILE_NAME
    try:
        with path.open("rb") as file:
            return msgspec.json.decode(file.read(MAX_FILE_BYTES), type=KnownMembers), ""
    except FileNotFoundError:
        return None, ""
    except OSError as error:
        return None, f"{path} can't be read: {error.strerror}; members are asked for at the seeds alone"
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return None, f"{path} is no list of members ({error}); it is written anew, and seeds are asked alone"


def save(folder: Path, kept: KnownMembers) -> None:
    """Write it whole, synced and renamed. OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    replace(folder / FILE_NAME, msgspec.json.encode(kept), folder / f"{FILE_NAME}.{os.getpid()}.new")
