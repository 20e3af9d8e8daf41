"""Datagrams between instances on the limits that upstreams state."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from cactuspass.fleet._datagrams import DatagramCodec
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.models import EntryId

MAX_MESSAGE_BYTES = 512

Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class LimitMessage:
    """What the response to a request states about the limit of its upstream.

    :param rate: requests per second; None if the response states no limit.
    :param sent_ago: seconds since the request was sent, since clocks of different instances cannot
        be compared.
    """

    lifetime: Lifetime
    rate: Amount | None
    sent_ago: Amount
    kind: Literal["upstream-limit"] = "upstream-limit"


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks an instance that has a share of a limit for one token.

    :param rate: the limit as the borrower knows it, in requests per second.
    :param number: identifies the request at the borrower.
    """

    lifetime: Lifetime
    rate: Amount
    borrower: EntryId
    number: int
    kind: Literal["limit-loan-request"] = "limit-loan-request"


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Says whether the lender has given up a token for the borrower.

    :param next_after: seconds after which the lender can have another one, if it sends nothing.
    """

    number: int
    is_granted: bool
    next_after: Amount
    kind: Literal["limit-loan-answer"] = "limit-loan-answer"


LimitDatagram = LimitMessage | LoanRequest | LoanAnswer
CODEC: DatagramCodec[LimitDatagram] = DatagramCodec(TypeAdapter(LimitDatagram), MAX_MESSAGE_BYTES)
