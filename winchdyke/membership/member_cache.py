"""The member cache on disk, for a start without a reachable seed. Holds names and addresses, not states."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from winchdyke.durable_files import replace_file
from winchdyke.membership.datagrams import Address, Name

FILE_NAME = "members.json"
MAX_FILE_BYTES = 1 << 20


class KnownMember(msgspec.Struct):
    """The name and address of a member that had not left."""

    name: Name
    address: Address


class KnownMembers(msgspec.Struct):
    """The content of the file.

    The last generation of this gateway is stored so that the next one is later even if the system clock was set back.
    """

    local_name: Name = msgspec.field(name="own")
    generation: int = msgspec.field(name="life")
    members: list[KnownMember] = []


def load(folder: Path) -> tuple[KnownMembers | None, str]:
    """Returns the cached members, or None, and the problem with the file ("" if there is none, or no file yet)."""
    path = folder / FILE_NAME
    try:
        with path.open("rb") as file:
            return msgspec.json.decode(file.read(MAX_FILE_BYTES), type=KnownMembers), ""
    except FileNotFoundError:
        return None, ""
    except OSError as error:
        return None, f"{path} can't be read: {error.strerror}; starting without cached members"
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return (
            None,
            f"{path} is not a valid member list ({error}); starting without cached members, and rewriting it",
        )


def save(folder: Path, known: KnownMembers) -> None:
    """Writes the file atomically and durably. Raises OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    replace_file(folder / FILE_NAME, msgspec.json.encode(known), folder / f"{FILE_NAME}.{os.getpid()}.new")
