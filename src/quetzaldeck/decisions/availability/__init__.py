"""Availability: whether something new may be sent to an upstream now.

Failure scenario: a replica turns requests away and asks for three seconds of rest. It
runs nothing, so it looks idle and attracts more requests than any other; each of them
has to be sent again elsewhere, which uses up the budget of resends of the whole
service. Or a replica says that it leaves while the list of replicas cannot be read:
requests are sent to it until it is gone.

What an upstream says of itself in a response is kept and binds what is sent to it
afterwards, see :mod:`quetzaldeck.decisions.availability.statements`. Together with the
list of replicas and the evacuated zones it gives one answer, see
:func:`~quetzaldeck.decisions.availability.closure.find_closure`.
"""

from __future__ import annotations

from quetzaldeck.decisions.availability.closure import (
    Closure,
    ClosureCause,
    find_closure,
)
from quetzaldeck.decisions.availability.statements import (
    Statement,
    UpstreamStatements,
)

__all__ = (
    "Closure",
    "ClosureCause",
    "Statement",
    "UpstreamStatements",
    "find_closure",
)
