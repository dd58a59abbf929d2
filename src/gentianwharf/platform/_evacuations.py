"""Decoding of the operators' requests to evacuate a failure domain."""

EVACUATIONS_PREFIX = "op/evacuate/"
"""Key prefix of the requests; the name of the failure domain follows."""


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a store key evacuates, None for other keys.

    The item exists for as long as the evacuation lasts; its value has no meaning.

    >>> evacuated_domain("op/evacuate/lac"), evacuated_domain("op/config")
    ('lac', None)
    """
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return key.removeprefix(EVACUATIONS_PREFIX)
