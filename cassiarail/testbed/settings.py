"""Write the settings files of all processes of a deployment.

Run ``python -m cassiarail.testbed.settings --folder FOLDER --output FOLDER``.
"""

import pathlib
import secrets
from typing import Annotated, Any

import msgspec
import typer

from cassiarail.conf.schema import OperatorSettings
from cassiarail.declarations.loader import load_folder
from cassiarail.testbed.layout import derive_layout, derive_scenario

program = typer.Typer(add_completion=False)
_PEER_KEY_NAME = 'peer-key'
_SECRET_BYTES = 32


@program.command()
def write(
    folder: Annotated[pathlib.Path, typer.Option(help='Declarations.')],
    output: Annotated[pathlib.Path, typer.Option(help='Folder to write.')],
    hosts: Annotated[int, typer.Option(help='Hosts per data centre.')] = 1,
    seconds: Annotated[float, typer.Option(help='Duration of load.')] = 20,
    rate: Annotated[float, typer.Option(help='Requests a second.')] = 10,
) -> None:
    """Write one JSON file per process and a load scenario."""
    declarations, _ = load_folder(folder)
    layout = derive_layout(declarations, hosts, seed=1)
    output.mkdir(parents=True, exist_ok=True)
    (output / _PEER_KEY_NAME).write_text(secrets.token_hex(_SECRET_BYTES))
    _write_json(output / 'standins.json', layout.standins)
    for settings in (*layout.controllers, *layout.gateways):
        document = {**settings, 'peer_secret_file': _PEER_KEY_NAME}
        _write_json(output / f'{settings["name"]}.json', document)
    operators = OperatorSettings(
        object_api=layout.store_url,
        controllers=[
            {
                'name': settings['name'],
                'address': settings['operators']['address'],
            }
            for settings in layout.controllers
        ],
    )
    _write_json(output / 'ctl.json', operators)
    scenario = derive_scenario(
        declarations,
        layout,
        duration_s=seconds,
        requests_per_second=rate,
        policy='affinity',
    )
    _write_json(output / 'scenario.json', scenario)


def _write_json(path: pathlib.Path, document: Any) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=2)
    path.write_bytes(encoded)


if __name__ == '__main__':
    program()
