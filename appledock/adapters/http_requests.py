"""HTTP requests of users, workers, probes and operators, as commands."""

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

_SPEC = msgspec.json.Decoder(wire.JobSpec)
_REPORT = msgspec.json.Decoder(wire.Report)
_ID = re.compile(r"\Ajob-[0-9]{1,18}\Z")
ADMIN_PATH_PREFIX = "/admin/v1/"
MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""what decoding raises; the last one for a thousand brackets in a row, also in a field
that nobody reads, which was answered 500 and sent again for a minute"""


class Refused(Exception):
    """Answered without the engine."""

    def __init__(self, status: int, error: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(error)
        self.status, self.error, self.headers = status, error, headers


def parse_command(request_id: int, method: str, path: str, body: bytes) -> Request:
    """The command that a request stands for; raises Refused."""
    if path == wire.PATH_REPORT:
        _only(method, "POST")
        return HeartbeatReceived(request_id, _decode(_REPORT, body))
    if path == wire.PATH_HEALTH:
        _only(method, "GET")
        return HealthRequest(request_id)
    if path == wire.PATH_JOBS:
        _only(method, "POST")
        return SubmitJob(request_id, _submission(_decode(_SPEC, body)))
    if path.startswith(wire.PATH_JOBS + "/"):
        rest = path[len(wire.PATH_JOBS) + 1 :]
        job, slash, action = rest.partition("/")
        if slash and action != "cancel":
            raise Refused(404, "no such path")
        _only(method, "POST" if slash else "GET")
        if not _ID.match(job):
            raise Refused(404, "no such job")
        return CancelJob(request_id, job) if slash else GetJobState(request_id, job)
    if path.startswith(ADMIN_PATH_PREFIX):
        payload: Any = None
        if body:
            try:
                payload = msgspec.json.decode(body)
            except MALFORMED as error:
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
"""request -> its name in the metrics, which operators read: it depends on no name of a class"""


def metric_name(request: Request) -> str:
    """The request's name in the metrics."""
    return METRIC_NAMES[type(request)]


def _submission(spec: wire.JobSpec) -> wire.JobSpec:
    """What a job needs, each named once; none at all is the same as no list."""
    if spec.needs is None:
        return spec
    if spec.id in spec.needs:
        raise Refused(400, f"{spec.id} cannot need itself")
    return msgspec.structs.replace(spec, needs=list(dict.fromkeys(spec.needs)) or None)


def _only(method: str, allowed: str) -> None:
    if method != allowed:
        raise Refused(405, f"only {allowed} is allowed here", {"Allow": allowed})


def _decode(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except MALFORMED as error:
        raise Refused(400, str(error)) from None
