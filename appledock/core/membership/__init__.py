"""Membership of the controllers: leases, the view, leadership, and heartbeats between them.

- `membership`: the lease of this controller and its place in the view, and what follows from
  them: whether this controller may act, and whether it leads. Other packages query this module.
- `protocol`: the membership protocol, which joins, renews the lease and changes the view.
- `heartbeats`: heartbeats between the controllers, used as a failure detector only: a heartbeat
  never grants or ends a right.
- `view_requests`: requests from other parts of the controller for a change of the view.
"""
