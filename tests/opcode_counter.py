"""Measures the cost of a call reproducibly, by counting interpreter opcodes."""

import collections.abc
import sys

__all__ = ["count_opcodes"]


def count_opcodes(call: collections.abc.Callable[[], object]) -> int:
    """Returns how many interpreter instructions a call executes.

    The work inside built-in functions isn't counted.
    """
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        if event == "opcode":
            count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
