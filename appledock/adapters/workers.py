"""Workers: commands and questions sent straight to their addresses."""

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
    """One connection to each worker, one call at a time on it.

    At most `max_clients` are kept, those used last.
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
        """Send orders or ask for the report; a report comes with nearly every answer."""
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
                log.error("worker %s answered %d: %s", call.address, status, body[:200])
                return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            report = msgspec.json.decode(body, type=wire.Report)
            return WorkerReply(
                call.call_id, WorkerOutcome.OK if status == 200 else WorkerOutcome.STALE, report
            )
        except (NotSent, ValueError) as error:
            if isinstance(error, msgspec.DecodeError | UnicodeDecodeError):
                log.error("malformed answer of worker %s: %s", call.address, error)
                return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
            log.info("worker %s: %s", call.address, error)
            return WorkerReply(call.call_id, WorkerOutcome.NOT_SENT)
        except NoAnswer as error:
            log.info("worker %s: %s", call.address, error)
            return WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)
