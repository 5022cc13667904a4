"""Loopback addresses that one run has for itself."""

import socket

from magnolialug.carrier.pool import Address

__all__ = ["Block"]

_LOCK_PORT = 7399
_STORE_PORT = 7400
_CALLERS_PORT = 8749
_READY_PORT = 8741
_INTERNAL_PORT = 7580
_ENDPOINT_PORT = 8080
# Machines begin here, endpoints and everything else below.
_FIRST_MACHINE = 100


class Block:
    """One block of 254 loopback addresses, held by a listening socket.

    Runs go on side by side on one machine; each takes the first free block.
    """

    def __init__(self) -> None:
        self.block, self._lock = _claim()

    def release(self) -> None:
        """Lets others have the block."""
        self._lock.close()

    def host(self, number: int) -> str:
        """Returns one address of the block."""
        return f"{self.block}.{number}"

    def machine(self, number: int) -> str:
        """Returns a machine's address, numbers from 0."""
        return self.host(_FIRST_MACHINE + number)

    def store(self, number: int) -> Address:
        """Returns where a machine reaches the key-value service."""
        return self.machine(number), _STORE_PORT

    @property
    def service(self) -> Address:
        """Where the key-value service is, behind all machines' ways to it."""
        return self.host(2), _STORE_PORT

    def callers(self, number: int) -> Address:
        """Returns where a machine takes callers."""
        return self.machine(number), _CALLERS_PORT

    def front(self, number: int) -> Address:
        """Returns where callers reach a machine."""
        return self.machine(number), _CALLERS_PORT + 1

    def ready(self, number: int) -> Address:
        """Returns where a machine says whether it is ready."""
        return self.machine(number), _READY_PORT

    @property
    def internal_ports(self) -> tuple[int, int]:
        """The ports for machines' talk among each other."""
        return _INTERNAL_PORT, _INTERNAL_PORT + 15

    def endpoint(self, number: int) -> Address:
        """Returns where machines reach an endpoint."""
        return self.host(number), _ENDPOINT_PORT


def _claim() -> tuple[str, socket.socket]:
    for number in range(1, 250):
        block = f"127.80.{number}"
        lock = socket.socket()
        try:
            lock.bind((f"{block}.1", _LOCK_PORT))
            lock.listen(1)
        except OSError:
            lock.close()
            continue
        return block, lock
    raise OSError("no free block of loopback addresses")
