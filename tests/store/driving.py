"""Drive coroutines that never wait for input or output."""

from cassiarail.core.loops import run_virtual


def drive(work):
    """Run a coroutine to its end and return what it returns."""

    async def main():
        return await work

    return run_virtual(main)
