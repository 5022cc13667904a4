"""One endpoint's address in a soak, and who is behind it."""

from magnolialug.soak.proxy import Proxy
from magnolialug.standin.endpoint import EndpointStandin

__all__ = ["Slot"]


class Slot:
    """One endpoint's address, and who is behind it.

    Attributes:
      proxy: what machines connect to.
      endpoint: the stand-in behind it, None while it is down.
      leaving_at: when the store accepted that it leaves.
      left_calmly: whether the store was calm then.
      listed: whether it has an entry, or renews one that lapses.
      faulty_until: until when its answers may be broken.
      silent_until: until when it neither reads nor sends.
    """

    def __init__(self, address, proxy: Proxy, service: str, zone: str):
        self.address = address
        self.proxy = proxy
        self.service = service
        self.zone = zone
        self.endpoint: EndpointStandin | None = None
        self.leaving_at: float | None = None
        self.left_calmly = False
        self.listed = True
        self.faulty_until = 0.0
        self.silent_until = 0.0
        self.row: dict = {}
