"""Run coroutines that do no input or output."""

from cassiarail.core.loops import run_virtual


def drive(work):
    """Run a coroutine to completion and return its result."""

    async def main():
        return await work

    return run_virtual(main)
