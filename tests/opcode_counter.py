"""Counts the work of a call without a clock: alike on each run and machine."""

import collections.abc
import sys

__all__ = ["count_opcodes"]


def count_opcodes(call: collections.abc.Callable[[], object]) -> int:
    """Returns how many instructions of the interpreter a call takes.

    What built-in functions do inside isn't counted.
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
