"""Revisions of the platform's store that rise also when the store is restored from an older copy.

The store counts its changes, and the count goes back with a restore; what it counts as well is how
often it was restored, its era. A revision has both, the era in the higher bits, so that a revision
of a later era is always the higher one and none occurs twice. A store without eras has era 0, and
its revisions are its own numbers.
"""

NUMBER_BITS = 48


def make_revision(era: int, number: int) -> int:
    """Return the revision for the number of a change.

    :raises ValueError: when the number is negative or needs more than ``NUMBER_BITS`` bits.
    """
    if not 0 <= number < 1 << NUMBER_BITS or era < 0:
        raise ValueError(f"{number} of era {era} is no revision")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return how often the store had been restored."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of the change in the store, which counts on within an era."""
    return revision & (1 << NUMBER_BITS) - 1
