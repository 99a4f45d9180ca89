"""Define verdicts: whether a request may have run."""

import enum
from collections.abc import Iterable

VERDICT_HEADER = 'x-verdict'


class Verdict(enum.Enum):
    """State whether a request may have run on a target."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    @property
    def strength(self) -> int:
        """Return the rank used to combine the verdicts of several attempts."""
        return _STRENGTH[self]


_STRENGTH = {  # noqa: WPS407 - read only
    Verdict.NOT_RUN: 0,
    Verdict.MAY_HAVE_RUN: 1,
    Verdict.RAN: 2,
}


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the strongest verdict of all attempts of one request.

    Without any attempt, the request was not run.
    """
    return max(
        verdicts,
        key=lambda verdict: verdict.strength,
        default=Verdict.NOT_RUN,
    )


def parse_verdict(text: str | None) -> Verdict | None:
    """Parse a verdict header; return ``None`` if it is missing or unknown."""
    try:
        return Verdict(text)
    except ValueError:
        return None
