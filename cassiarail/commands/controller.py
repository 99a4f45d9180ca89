"""Start the program ``cassiarail-controller``."""

from cassiarail.commands.launch import launch


def main() -> None:
    """Run the program."""
    launch('cassiarail.commands.programs.controller')


if __name__ == '__main__':
    main()
