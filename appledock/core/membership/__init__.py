"""Membership of the controllers: leases, the view, leadership, and heartbeats between them.

- `membership`: this controller's lease and its place in the view, and what follows from them:
  may it act, does it lead. Every other package asks here.
- `protocol`: what keeps that so: joining, renewing the lease, changing the view.
- `heartbeats`: how each controller is served, sent to the others. A failure detector only: it
  never grants or ends a right.
- `view_requests`: requests of other parts for a change of the view.
"""
