"""Conversion of HTTP requests from users, workers, health probes and operators to commands."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from appledock import wire
from appledock.core.commands import (
    AdminRequest,
    CancelJob,
    GetJobState,
    HealthRequest,
    HeartbeatReceived,
    Request,
    SubmitJob,
)

_SPEC_DECODER = msgspec.json.Decoder(wire.JobSpec)
_REPORT_DECODER = msgspec.json.Decoder(wire.Report)
_JOB_ID = re.compile(r"\Ajob-[0-9]{1,18}\Z")
ADMIN_PATH_PREFIX = "/admin/v1/"
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Exceptions that decoding raises.

RecursionError occurs with a thousand nested brackets, also in a field that is not read. If
RecursionError were not caught, such a request would be answered with 500, and the client would
repeat it for a minute.
"""


class Refused(Exception):
    """The request is answered with an error and is not passed to the engine."""

    def __init__(self, status: int, error: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(error)
        self.status, self.error, self.headers = status, error, headers


def parse_command(request_id: int, method: str, path: str, body: bytes) -> Request:
    """Return the command for a request.

    Raises:
        Refused: If the request is invalid.
    """
    if path == wire.PATH_REPORT:
        _require_method(method, "POST")
        return HeartbeatReceived(request_id, _decode(_REPORT_DECODER, body))
    if path == wire.PATH_HEALTH:
        _require_method(method, "GET")
        return HealthRequest(request_id)
    if path == wire.PATH_JOBS:
        _require_method(method, "POST")
        return SubmitJob(request_id, _normalize_needs(_decode(_SPEC_DECODER, body)))
    if path.startswith(wire.PATH_JOBS + "/"):
        job_path = path[len(wire.PATH_JOBS) + 1 :]
        job, slash, action = job_path.partition("/")
        if slash and action != "cancel":
            raise Refused(404, "no such path")
        _require_method(method, "POST" if slash else "GET")
        if not _JOB_ID.match(job):
            raise Refused(404, "no such job")
        return CancelJob(request_id, job) if slash else GetJobState(request_id, job)
    if path.startswith(ADMIN_PATH_PREFIX):
        payload: Any = None
        if body:
            try:
                payload = msgspec.json.decode(body)
            except DECODE_ERRORS as error:
                raise Refused(400, f"not JSON: {error}") from None
        return AdminRequest(
            request_id, method, tuple(path[len(ADMIN_PATH_PREFIX) :].strip("/").split("/")), payload
        )
    raise Refused(404, "no such path")


METRIC_NAMES: dict[type[Request], str] = {
    SubmitJob: "submit",
    GetJobState: "poll",
    CancelJob: "cancel",
    HeartbeatReceived: "reported",
    HealthRequest: "health",
    AdminRequest: "admin",
}
"""request type -> name in the metrics.

Operators read these names, so they do not change when a class is renamed.
"""


def metric_name(request: Request) -> str:
    """Return the name of a request in the metrics."""
    return METRIC_NAMES[type(request)]


def _normalize_needs(spec: wire.JobSpec) -> wire.JobSpec:
    """Return the specification with duplicates removed from `needs`, and None for an empty list.

    Raises:
        Refused: If the job needs itself.
    """
    if spec.needs is None:
        return spec
    if spec.id in spec.needs:
        raise Refused(400, f"{spec.id} cannot need itself")
    return msgspec.structs.replace(spec, needs=list(dict.fromkeys(spec.needs)) or None)


def _require_method(method: str, allowed: str) -> None:
    """Raise Refused if the path does not support the method."""
    if method != allowed:
        raise Refused(405, f"only {allowed} is allowed here", {"Allow": allowed})


def _decode(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:
    """Return the decoded body; raise Refused if it is malformed."""
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise Refused(400, str(error)) from None
