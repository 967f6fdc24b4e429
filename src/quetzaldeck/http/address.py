"""Addresses on which programs listen."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class ListenAddress(NamedTuple):
    """Address and port on which a program listens."""

    host: Annotated[str, Option("IP address to listen on.")] = "127.0.0.1"
    port: Annotated[
        int, Option("TCP port; 0: any free port.", minimum=0, maximum=65_535)
    ] = 0


def parse_listen_address(text: str) -> ListenAddress:
    """:returns: the address given as ``IP:PORT``

    :raises ValueError: if ``text`` does not have this form
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        msg = f"an address must be IP:PORT, not {text!r}"
        raise ValueError(msg)
    return ListenAddress(host, int(port))


__all__ = ("ListenAddress", "parse_listen_address")
