"""Worker adapter: sends commands and requests for reports directly to the workers."""

from __future__ import annotations

import logging
from collections import OrderedDict

import msgspec

from appledock import wire
from appledock.core.commands import WorkerOutcome, WorkerReply
from appledock.core.effects import WorkerCall
from appledock.net.http import Client, NoAnswer, NotSent
from appledock.settings import split_address

log = logging.getLogger(__name__)


class WorkerCalls:
    """HTTP clients of the workers, with one connection and one call at a time for each worker.

    At most `max_clients` are kept: the least recently used one is closed.
    """

    def __init__(self, max_clients: int) -> None:
        self.max_clients = max_clients
        self.clients: OrderedDict[str, Client] = OrderedDict()

    def _client(self, addr: str) -> Client:
        client = self.clients.get(addr)
        if client is None:
            client = self.clients[addr] = Client(*split_address(addr), max_connections=1)
            if len(self.clients) > self.max_clients:
                self.clients.popitem(last=False)[1].close()
        else:
            self.clients.move_to_end(addr)
        return client

    async def run(self, call: WorkerCall) -> WorkerReply:
        """Send commands to a worker, or request its report if the call has none.

        A worker that refuses the commands (409) also answers with its report.
        """
        try:
            client = self._client(call.address)
            if call.orders is None:
                status, body = await client.request(
                    "GET", wire.PATH_WORKER_REPORT, b"", call.timeout_s
                )
            else:
                status, body = await client.request(
                    "POST", wire.PATH_ORDERS, wire.encode(call.orders), call.timeout_s
                )
            if status not in (200, 409):
                log.error(
                    "worker call failed: address=%s status=%d answer=%s",
                    call.address,
                    status,
                    body[:200],
                )
                return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            report = msgspec.json.decode(body, type=wire.Report)
            return WorkerReply(
                call.call_id, WorkerOutcome.OK if status == 200 else WorkerOutcome.STALE, report
            )
        except (NotSent, ValueError) as error:
            if isinstance(error, msgspec.DecodeError | UnicodeDecodeError):
                log.error("malformed answer of worker: address=%s error=%s", call.address, error)
                return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            log.info("worker call not sent: address=%s error=%s", call.address, error)
            return WorkerReply(call.call_id, WorkerOutcome.NOT_SENT)
        except NoAnswer as error:
            log.info("worker call unanswered: address=%s error=%s", call.address, error)
            return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
