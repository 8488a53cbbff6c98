"""Known members on disk, for a start at which no seed answers. Holds names and addresses, not who is alive."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from winchdyke.durable_files import replace_file
from winchdyke.membership.datagrams import Address, Name

FILE_NAME = "members.json"
MAX_FILE_BYTES = 1 << 20


class KnownMember(msgspec.Struct):
    """A member that was active, and its address."""

    name: Name
    address: Address


class KnownMembers(msgspec.Struct):
    """The file's content.

    The last generation of this gateway is stored so that the next one is later even if the system clock was set back.
    """

    local_name: Name = msgspec.field(name="own")
    generation: int = msgspec.field(name="life")
    members: list[KnownMember] = []


def load(folder: Path) -> tuple[KnownMembers | None, str]:
    """Return the stored members, or None, and what is wrong with the file ("": nothing, or there is none yet)."""
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


def save(folder: Path, known: KnownMembers) -> None:
    """Write the file atomically and durably. Raises OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    replace_file(folder / FILE_NAME, msgspec.json.encode(known), folder / f"{FILE_NAME}.{os.getpid()}.new")
