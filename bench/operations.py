"""Counts the interpreter's instructions, which do not depend on the machine's load."""

import sys
from collections.abc import Callable

__all__ = ["count_operations"]


class InstructionCounter:
    """Trace function that counts the bytecode instructions of Python code.

    Attributes
    ----------
    count : int
    """

    def __init__(self):
        self.count = 0

    def trace(self, frame, event: str, argument: object):
        """Count an instruction; return the trace function of the frame."""
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            self.count += 1
        return self.trace


def count_operations(action: Callable[[], object]) -> int:
    """Return how many bytecode instructions an action executes."""
    counter = InstructionCounter()
    previous = sys.gettrace()
    sys.settrace(counter.trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return counter.count
