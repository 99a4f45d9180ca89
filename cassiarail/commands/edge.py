"""Start the program ``cassiarail-edge``."""

from cassiarail.commands.launch import launch


def main() -> None:
    """Run the program."""
    launch('cassiarail.commands.programs.edge')


if __name__ == '__main__':
    main()
