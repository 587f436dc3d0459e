"""Settings that switch the decisions under heavy load on and off.

These decisions rest on one VM per upstream or service that decides for all
others. Domains with few VMs get by without, so that is the default there.
"""

import enum

import msgspec

__all__ = ["MAX_VMS_FOR_AUTO_OFF", "LoadSettings", "Switch", "is_on"]

# Up to this many VMs in a failure domain, `auto` means off: each VM learns of
# the others' requests within a fraction of their service time.
MAX_VMS_FOR_AUTO_OFF = 6


class Switch(enum.Enum):
    """Whether a mechanism is active."""

    # Active where a failure domain has many VMs.
    AUTO = "auto"
    ON = "on"
    OFF = "off"


class LoadSettings(msgspec.Struct, frozen=True):
    """Section [load]: decisions under heavy load.

    Queue limits and fair shares are off by default: with 200 waiting requests
    they take up to 35% of a core, and they reject too many requests below the
    capacity. `on` is for trials.

    Attributes:
        placement: Places keys by the load and speed of their owners, and not
            only by the number of slots.
        returning_callers: Recognises callers that were rejected, and reserves
            capacity for their retries.
        queue_limits: Rejects requests as soon as they can't be served in time.
        fair_shares: Divides contended capacity among organisations and routes.
        fast_signal: Selects upstreams by their momentary speed.
    """

    placement: Switch = Switch.AUTO
    returning_callers: Switch = Switch.AUTO
    queue_limits: Switch = Switch.OFF
    fair_shares: Switch = Switch.OFF
    fast_signal: Switch = Switch.AUTO


def is_on(switch: Switch, vm_count: int) -> bool:
    """Whether a mechanism is active.

    Args:
        switch: Its setting.
        vm_count: Live VMs in this VM's failure domain, with itself.
    """
    if switch is Switch.AUTO:
        return vm_count > MAX_VMS_FOR_AUTO_OFF
    return switch is Switch.ON
