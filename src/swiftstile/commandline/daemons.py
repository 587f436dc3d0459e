"""Commands that run a daemon or check its settings."""

import asyncio
import pathlib
import signal

import uvloop

from swiftstile import errors
from swiftstile import logs
from swiftstile import settings as settings_lib
from swiftstile import telemetry
from swiftstile import wiring
from swiftstile.commandline import shared
from swiftstile.daemons import inspection_server
from swiftstile.gateway import settings as gateway_settings

__all__ = ["add"]


def add(commands) -> None:
    """Adds the daemon commands and the settings checks."""
    _add_daemons(commands)
    _add_check(commands)


def _add_daemons(commands) -> None:
    for name, run, text in (
        ("router", _run_router, "route requests of callers to owners"),
        (
            "coordinator",
            _run_coordinator,
            "take part in the assignment of keys to owners",
        ),
    ):
        command = commands.add_parser(name, help=text, description=text)
        shared.add_settings(command)
        command.set_defaults(run=run)


def _add_check(commands) -> None:
    for name, load, kind in (
        ("check-settings", settings_lib.load, "router and coordinator"),
        ("check-gateway", gateway_settings.load, "gateway"),
    ):
        text = f"check a settings file of {kind} and list all errors"
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("file", type=pathlib.Path, help="an INI file")
        command.set_defaults(run=_check_settings, load=load)


def _check_settings(args) -> int:
    args.load(args.file)
    print(f"{args.file}: ok")
    return shared.EXIT_OK


def _run_router(args) -> int:
    settings = settings_lib.load(args.settings)
    _require(settings.router, "router", args.settings)
    return _run_daemon(settings, "router", settings.router.metrics)


def _run_coordinator(args) -> int:
    settings = settings_lib.load(args.settings)
    _require(settings.coordinator, "coordinator", args.settings)
    return _run_daemon(settings, "coordinator", settings.coordinator.metrics)


def _require(section, name: str, path: pathlib.Path) -> None:
    if section is None:
        raise errors.SettingsError(
            f"[{name}]: section missing", step="check settings", peer=str(path)
        )


def _run_daemon(settings, role: str, inspect_address: str) -> int:
    vm = settings.vm
    logs.configure(settings.log, role=role, vm=vm.id)

    async def run() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        components = wiring.Wiring(settings)
        daemon = getattr(components, role)()
        runner = None
        if inspect_address:
            runner = await inspection_server.start(
                inspect_address, daemon, telemetry.render
            )
        try:
            await daemon.run(stopping)
        finally:
            if runner is not None:
                await runner.cleanup()
            await components.close()

    uvloop.run(run())
    return shared.EXIT_OK
