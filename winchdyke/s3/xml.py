"""S3's documents: what is answered, and what clients send. Pure. Reading is by defusedxml: no entities, no doctypes."""

from __future__ import annotations

import re
from dataclasses import dataclass
from xml.etree.ElementTree import Element, SubElement, tostring

import defusedxml.ElementTree
from defusedxml.common import DefusedXmlException

from winchdyke.s3.errors import S3Error

SPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
LARGEST = 2 << 20  # bytes of a document that a client sends: 10,000 parts fit
DELETED_MOST = 1000
Value = str | int | bool | None | list["Value"] | dict[str, "Value"]


def document(name: str, values: dict[str, Value], space: str = SPACE) -> bytes:
    """A document of nested values; a list is an element repeated, None is left out."""
    root = Element(name, {"xmlns": space} if space else {})
    _fill(root, values)
    text: bytes = tostring(root, encoding="utf-8")
    return b'<?xml version="1.0" encoding="UTF-8"?>\n' + text


def _fill(at: Element, values: dict[str, Value]) -> None:
    for name, value in values.items():
        for each in value if isinstance(value, list) else [value]:
            if each is None:
                continue
            made = SubElement(at, name)
            if isinstance(each, dict):
                _fill(made, each)
            elif isinstance(each, bool):
                made.text = "true" if each else "false"
            else:
                # What XML can't hold is told by a sign; encoding-type=url is there for such keys.
                made.text = re.sub("[\x00-\x08\x0b\x0c\x0e-\x1f\ufffe\uffff]", "\ufffd", str(each))


def error(code: str, text: str, resource: str, request: str) -> bytes:
    """The body of an error."""
    return document("Error", {"Code": code, "Message": text, "Resource": resource, "RequestId": request}, "")


def _root(data: bytes, name: str) -> Element:
    try:
        root: Element = defusedxml.ElementTree.fromstring(data, forbid_dtd=True)
    except (DefusedXmlException, SyntaxError, ValueError, LookupError) as wrong:
        raise S3Error("MalformedXML", f"the document can't be read: {wrong}") from wrong
    for each in root.iter():
        each.tag = str(each.tag).rpartition("}")[2]
    if root.tag != name:
        raise S3Error("MalformedXML", f"the document is a {root.tag}, not a {name}")
    return root


def _text(at: Element, name: str) -> str | None:
    found = at.find(name)
    return None if found is None else (found.text or "")


@dataclass(frozen=True, slots=True)
class Part:
    """A part that a completion names; the tag without its quotes."""

    number: int
    etag: str


def parse_completion(data: bytes) -> list[Part]:
    """The parts of a CompleteMultipartUpload document, as they were given."""
    found = []
    for each in _root(data, "CompleteMultipartUpload").findall("Part"):
        number, etag = _text(each, "PartNumber") or "", _text(each, "ETag")
        if not re.fullmatch(r"\s*[0-9]{1,5}\s*", number) or etag is None:
            raise S3Error("MalformedXML", "a Part has a PartNumber and an ETag")
        found.append(Part(int(number), etag.strip().strip('"')))
    if not found:
        raise S3Error("MalformedXML", "no part is named")
    return found


def parse_deletion(data: bytes) -> tuple[list[str], bool]:
    """The keys of a Delete document, and whether only failures are to be told."""
    root = _root(data, "Delete")
    keys = []
    for each in root.findall("Object"):
        key = _text(each, "Key")
        if not key:
            raise S3Error("MalformedXML", "an Object has a Key")
        if _text(each, "VersionId"):
            raise S3Error("NotImplemented", "versions are not spoken here")
        keys.append(key)
    if not 1 <= len(keys) <= DELETED_MOST:
        raise S3Error("MalformedXML", f"1 to {DELETED_MOST} objects may be named; {len(keys)} are")
    return keys, (_text(root, "Quiet") or "").strip().lower() == "true"
