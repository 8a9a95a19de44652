"""The membership protocol: joins the cluster, renews the lease, and changes the view."""

from __future__ import annotations

from collections.abc import Callable

from appledock.core.membership.format_upgrade import RecordFormatUpgrade
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.joining import Joining
from appledock.core.membership.lease_renewal import LeaseRenewal
from appledock.core.membership.membership import Membership, MembershipState
from appledock.core.membership.next_view import next_view
from appledock.core.membership.view_changes import ViewChanger
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica


class MembershipProtocol:
    """Runs joining, lease renewal, view changes and the upgrade of the record format.

    The resulting state of this controller is kept in `Membership`.
    """

    def __init__(  # noqa: PLR0913 -- it builds the parts of the protocol
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        heartbeats: Heartbeats,
        view_requests: ViewChangeRequests,
        is_machine_deleted: Callable[[str], bool],
        newest_format: int,
    ) -> None:
        """Build the parts of the protocol.

        `is_machine_deleted` returns whether a machine was deleted; `newest_format` is the newest
        record format that this controller supports.
        """
        self._client = client
        self._reader = reader
        self._membership = membership
        self._view_requests = view_requests
        self._is_machine_deleted = is_machine_deleted
        self.renewal = LeaseRenewal(runtime, client, replica, membership)
        self.joining = Joining(
            runtime=runtime,
            client=client,
            replica=replica,
            reader=reader,
            membership=membership,
            next_view=self.next_view,
            on_joined=self.renewal.on_joined,
            newest_format=newest_format,
        )
        self.view_changer = ViewChanger(
            runtime=runtime,
            client=client,
            replica=replica,
            reader=reader,
            membership=membership,
            heartbeats=heartbeats,
            view_requests=view_requests,
            next_view=self.next_view,
        )
        self.format_upgrade = RecordFormatUpgrade(
            runtime, client, replica, reader, membership, newest_format
        )

    def tick(self) -> None:
        """Take the steps that are due; none before the replica has been loaded."""
        if not self._reader.loaded:
            return
        match self._membership.state:
            case MembershipState.NOT_JOINED:
                if self.joining.is_due():
                    self.joining.start()
            case MembershipState.JOINING:
                pass
            case MembershipState.JOINED:
                self.renewal.tick()
                self.view_changer.tick()
                self.format_upgrade.tick()

    def on_view(self) -> None:
        """Handle a newer view."""
        self.view_changer.on_view()
        if self._membership.is_joined() and not self._membership.is_member():
            # The view may be outdated, and the member key may still exist: only a linearizable
            # read shows whether this controller has lost its membership.
            self.confirm_view()

    def confirm_view(self) -> None:
        """Read the view; if it is still the newest, authority counts from now."""
        self.renewal.confirm_view()

    def next_view(self, members: dict[str, str]) -> View:
        """Return the view that follows the known one, with these members (node -> incarnation)."""
        return next_view(
            self._membership.view,
            self._membership.node,
            members,
            self._view_requests,
            self._is_machine_deleted,
            self._client.max_value_bytes,
        )
