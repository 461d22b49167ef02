"""Entries of another writer in the platform's list of workers."""

import json


def nested(levels):
    return b"[" * levels + b"]" * levels


def malformed_entries(good):
    """Entries of another writer in the worker list, each malformed in one part. None
    of them names a worker to use. `good` is a valid entry."""
    def with_value(name, value):
        return json.dumps({**good, name: value}).encode()

    def with_capacity(name, value):
        return with_value("capacity", {**good["capacity"], name: value})

    text = json.dumps(good).encode()
    return ([with_value("address", value) for value in (
                "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "somewhere",
                "somewhere:80", "", "127.0.0.1", 80, None)] +
            [with_value("state", value) for value in ("gone", "", 5, None)] +
            [with_value("service", value) for value in (5, None)] +
            [with_capacity(name, value) for name in ("cpu", "mem_mb")
             for value in (-5, 10**15, 2**53, 2**70, "many", None)] +
            [json.dumps({k: v for k, v in good.items() if k != name}).encode()
             for name in ("service", "address", "zone", "state", "capacity")] +
            [text.replace(b'"cpu": 8000', b'"cpu": 1e400'), text[:-9], b"", b"\x00\xff\xfe",
             text.replace(b"r1", b"\xc3\x28"), b"null", b"[]", b"5",
             text[:-1] + b',"x":' + nested(33) + b"}", nested(10000)])
