"""The members on the disk, for a start at which no seed answers: names and addresses, nothing of who is alive."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from winchdyke.durable_files import replace_file
from winchdyke.membership.datagrams import Address, Name

FILE = "members.json"
MOST = 1 << 20


class KnownMember(msgspec.Struct):
    """A member that was there, and where."""

    name: Name
    address: Address


class KnownMembers(msgspec.Struct):
    """What is kept: the last life of this process's name, so that the next one is later whatever the clock says."""

    own: Name
    life: int
    members: list[KnownMember] = []


def load(folder: Path) -> tuple[KnownMembers | None, str]:
    """What is kept, and what is wrong with it ("": nothing, or there is none yet)."""
    path = folder / FILE
    try:
        with path.open("rb") as file:
            return msgspec.json.decode(file.read(MOST), type=KnownMembers), ""
    except FileNotFoundError:
        return None, ""
    except OSError as error:
        return None, f"{path} can't be read: {error.strerror}; members are asked for at the seeds alone"
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return None, f"{path} is no list of members ({error}); it is written anew, and seeds are asked alone"


def save(folder: Path, kept: KnownMembers) -> None:
    """Write it whole, synced and renamed. OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    replace_file(folder / FILE, msgspec.json.encode(kept), folder / f"{FILE}.{os.getpid()}.new")
