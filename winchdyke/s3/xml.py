"""Writes and parses the XML documents of S3. Pure. defusedxml rejects entities and doctypes."""

from __future__ import annotations

import re
from dataclasses import dataclass
from xml.etree.ElementTree import Element, SubElement, tostring

import defusedxml.ElementTree
from defusedxml.common import DefusedXmlException

from winchdyke.s3.errors import S3Error

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
MAX_DOCUMENT_BYTES = 2 << 20  # of a document from a client; the list of 10,000 parts fits
MAX_DELETED_KEYS = 1000
Value = str | int | bool | None | list["Value"] | dict[str, "Value"]


def document(name: str, values: dict[str, Value], namespace: str = NAMESPACE) -> bytes:
    """An XML document of nested values. A list becomes repeated elements; None is omitted."""
    root = Element(name, {"xmlns": namespace} if namespace else {})
    _append(root, values)
    text: bytes = tostring(root, encoding="utf-8")
    return b'<?xml version="1.0" encoding="UTF-8"?>\n' + text


def _append(parent: Element, values: dict[str, Value]) -> None:
    for name, value in values.items():
        for item in value if isinstance(value, list) else [value]:
            if item is None:
                continue
            element = SubElement(parent, name)
            if isinstance(item, dict):
                _append(element, item)
            elif isinstance(item, bool):
                element.text = "true" if item else "false"
            else:
                # Replaces characters that XML cannot represent; clients use encoding-type=url for such keys.
                element.text = re.sub("[\x00-\x08\x0b\x0c\x0e-\x1f\ufffe\uffff]", "\ufffd", str(item))


def error_document(code: str, text: str, resource: str, request_id: str) -> bytes:
    """The body of an error response."""
    return document(
        "Error", {"Code": code, "Message": text, "Resource": resource, "RequestId": request_id}, ""
    )


def _parse_root(data: bytes, name: str) -> Element:
    try:
        root: Element = defusedxml.ElementTree.fromstring(data, forbid_dtd=True)
    except (DefusedXmlException, SyntaxError, ValueError, LookupError) as cause:
        raise S3Error("MalformedXML", f"invalid XML document: {cause}") from cause
    for item in root.iter():
        item.tag = str(item.tag).rpartition("}")[2]
    if root.tag != name:
        raise S3Error("MalformedXML", f"the root element is {root.tag}; expected {name}")
    return root


def _child_text(parent: Element, name: str) -> str | None:
    found = parent.find(name)
    return None if found is None else (found.text or "")


@dataclass(frozen=True, slots=True)
class CompletedPart:
    """A part listed in a CompleteMultipartUpload document; the ETag has no quotes."""

    number: int
    etag: str


def parse_completion(data: bytes) -> list[CompletedPart]:
    """The parts of a CompleteMultipartUpload document, in its order."""
    found = []
    for item in _parse_root(data, "CompleteMultipartUpload").findall("Part"):
        number, etag = _child_text(item, "PartNumber") or "", _child_text(item, "ETag")
        if not re.fullmatch(r"\s*[0-9]{1,5}\s*", number) or etag is None:
            raise S3Error("MalformedXML", "a Part element requires a PartNumber and an ETag")
        found.append(CompletedPart(int(number), etag.strip().strip('"')))
    if not found:
        raise S3Error("MalformedXML", "the document lists no Part")
    return found


def parse_deletion(data: bytes) -> tuple[list[str], bool]:
    """The keys of a Delete document, and whether only failures are to be reported (Quiet)."""
    root = _parse_root(data, "Delete")
    keys = []
    for item in root.findall("Object"):
        key = _child_text(item, "Key")
        if not key:
            raise S3Error("MalformedXML", "an Object element requires a Key")
        if _child_text(item, "VersionId"):
            raise S3Error("NotImplemented", "object versions are not supported")
        keys.append(key)
    if not 1 <= len(keys) <= MAX_DELETED_KEYS:
        raise S3Error("MalformedXML", f"1 to {MAX_DELETED_KEYS} objects may be listed; {len(keys)} are")
    return keys, (_child_text(root, "Quiet") or "").strip().lower() == "true"
