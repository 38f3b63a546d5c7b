"""The process of a store machine."""

import asyncio
import importlib
import logging
from pathlib import Path
from random import Random

from crowwing.tier.http_server import make_server, serve_until
from crowwing.tier.platform_list import make_list_reader
from crowwing.tier.process import Tasks, watch_signals
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.settings_watch import watch_settings
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.machine import StoreMachine

log = logging.getLogger("crowwing.store")

DEFAULT_DATA_DIR = Path("data")
LEADERSHIP_TRANSFER_S = 0.3  # time for another member to take over before connections are closed
CONTROL_SHUTDOWN_S = 1.0
CONTROL_KEEP_ALIVE_S = 30
CONTROL_API_MODULE = "crowwing.tier.store.control_api"


async def serve_control(machine: StoreMachine, address: str, stop: asyncio.Event) -> None:
    """Serves the operator's API until `stop` is set.

    Loading its library takes a third of the startup time, so it is loaded in a thread while the machine
    already takes part in elections. Early requests wait in the listen backlog.
    """
    control_api = await asyncio.to_thread(importlib.import_module, CONTROL_API_MODULE)
    app = control_api.make_app(machine.service)
    server = make_server(app, address, CONTROL_SHUTDOWN_S, CONTROL_KEEP_ALIVE_S)
    await serve_until(server, stop)


async def run_store(settings: Settings) -> int:
    """Runs a store machine until SIGTERM; returns the exit status."""
    stop, settings_changed = asyncio.Event(), asyncio.Event()
    watch_signals(stop, settings_changed)
    tasks = Tasks(stop)
    disk = Disk(settings.data_dir or DEFAULT_DATA_DIR, settings.limits.disk_mb * MEGABYTE)
    machine = StoreMachine(settings, disk, Environment(Random()))
    listener = await machine.start(lambda: not stop.is_set())
    read_list = make_list_reader(settings.cloud.address) if settings.cloud is not None else None
    for task in machine.background_tasks(read_list):
        tasks.start(task)
    tasks.start(watch_settings(settings_changed, lambda changed: machine.update_seeds(changed.seed_hosts)))
    if settings.listen.control:
        tasks.start(serve_control(machine, settings.listen.control, stop))
    log.info("store_started address=%s:%d", settings.ip, settings.internal_port)

    await stop.wait()
    machine.transfer_leadership()
    await asyncio.sleep(LEADERSHIP_TRANSFER_S)
    listener.close()
    tasks.cancel()
    machine.close()
    log.info("store_stopped")
    return 1 if tasks.failed else 0
