"""The periodic exchange between the gateway and the agent of one VM."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bundle.document import Bundle
from quetzaldeck.decisions.loads.load_report import LoadReport
from quetzaldeck.dissemination.record import Record, RecordDraft


class GatewayReport(NamedTuple):
    """Sent by the gateway to the agent at each exchange.

    :param incarnation: id of the gateway process, new after each restart
    :param bundle_version: version in force in the gateway; 0: none
    :param n_running: attempts in progress
    :param records: records of this gateway for the other VMs
    :param records_cursor: cursor of the last :class:`AgentView`; 0 for all records
    :param agent_incarnation: incarnation in the last :class:`AgentView`; ``""`` if
        there was none
    :param is_stopped: whether the gateway has drained and no longer needs the agent
    """

    vm: str
    incarnation: str
    bundle_version: int
    n_running: int = 0
    records: tuple[RecordDraft, ...] = ()
    records_cursor: int = 0
    agent_incarnation: str = ""
    is_stopped: bool = False


class AgentView(NamedTuple):
    """The agent's answer to the gateway at each exchange.

    :param bundle: the bundle in force, if the gateway's is older; sent decoded and
        without its signature, because the agent has verified it
    :param leaving: upstreams that get no new work
    :param n_vms: entry VMs considered live, this one included
    :param records: records of other VMs changed since the report's cursor
    :param records_cursor: to be sent back with the next report
    :param agent_incarnation: incarnation of the agent that the cursor belongs to
    """

    bundle_version: int
    bundle: Bundle | None
    loads: tuple[LoadReport, ...] = ()
    leaving: tuple[str, ...] = ()
    n_vms: int = 1
    records: tuple[Record, ...] = ()
    records_cursor: int = 0
    agent_incarnation: str = ""


__all__ = ("AgentView", "GatewayReport")
