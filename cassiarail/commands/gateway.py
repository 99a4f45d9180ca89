"""Start the program ``cassiarail-gateway``."""

from cassiarail.commands.launch import launch


def main() -> None:
    """Run the program."""
    launch('cassiarail.commands.programs.gateway')


if __name__ == '__main__':
    main()
