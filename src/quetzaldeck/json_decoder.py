"""Decoding of JSON that another process has written."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

T = TypeVar("T")


class JsonDecoder(Generic[T]):
    """Decodes messages of one type, and fails in one way.

    msgspec raises other errors for text that nests too deeply, is not valid UTF-8, or
    has a number with too many digits. A task that expects its own errors only would end
    with them, and with it what it reads.

    :param message_type: type of the messages, as msgspec defines it
    """

    def __init__(self, message_type: type[T]) -> None:
        self._decoder = msgspec.json.Decoder(message_type)

    def decode(self, data: bytes | bytearray | memoryview | str) -> T:
        """:returns: the message

        :raises msgspec.DecodeError: if it is not valid
        """
        try:
            return self._decoder.decode(data)
        except msgspec.DecodeError:
            raise
        except (RecursionError, ValueError) as error:
            raise msgspec.DecodeError(str(error)) from error


__all__ = ("JsonDecoder",)
