"""Whether this VM reaches the upstreams of a service, and who serves if it does not.

Failure scenario: some VMs are partitioned from all upstreams, while callers, the store
and the other VMs reach them. Their connections hang, are reset, or are refused. To such
a VM all upstreams look dead, and it fails requests that any other VM would serve.

A VM finds that it reaches no upstream of a service by probes on new connections. What
the other VMs report tells the two causes apart: if they are answered, its own path is
the fault, and it hands its requests over to them; if nobody is, the upstreams are down
and the requests are refused at once.
"""

from __future__ import annotations

from quetzaldeck.decisions.paths.bounds import PathBounds
from quetzaldeck.decisions.paths.monitor import PathMonitor
from quetzaldeck.decisions.paths.peer_chooser import PeerChooser
from quetzaldeck.decisions.paths.service_path import ServicePath
from quetzaldeck.decisions.paths.verdict import PathVerdict

__all__ = ("PathBounds", "PathMonitor", "PathVerdict", "PeerChooser", "ServicePath")
