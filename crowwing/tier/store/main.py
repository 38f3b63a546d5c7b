"""The process of a store machine."""

import asyncio
import logging
from functools import partial
from pathlib import Path
from random import Random

import httpx

from crowwing.tier.http_client import NO_CERTIFICATES
from crowwing.tier.http_server import make_server, serve_until
from crowwing.tier.platform_list import read_list
from crowwing.tier.process import Tasks, watch_signals
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.settings_watch import watch_settings
from crowwing.tier.store.control_api import make_app
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.list_reader import ReadList
from crowwing.tier.store.machine import StoreMachine

log = logging.getLogger("crowwing.store")

DEFAULT_DATA_DIR = Path("data")
LEADERSHIP_TRANSFER_S = 0.3  # for another member to take over before the connections are closed
CONTROL_SHUTDOWN_S = 1.0
CONTROL_KEEP_ALIVE_S = 30


def make_list_reader(settings: Settings) -> ReadList | None:
    """A reader of the platform's list, where the settings name one."""
    if settings.cloud is None:
        return None
    client = httpx.AsyncClient(trust_env=False, verify=NO_CERTIFICATES)
    return partial(read_list, client, settings.cloud.address)


async def run_store(settings: Settings) -> int:
    """Runs until SIGTERM; returns the exit status."""
    stop, settings_changed = asyncio.Event(), asyncio.Event()
    watch_signals(stop, settings_changed)
    tasks = Tasks(stop)
    disk = Disk(settings.data_dir or DEFAULT_DATA_DIR, settings.limits.disk_mb * MEGABYTE)
    machine = StoreMachine(settings, disk, Environment(Random()))
    listener = await machine.start(lambda: not stop.is_set())
    for task in machine.background_tasks(make_list_reader(settings)):
        tasks.start(task)
    tasks.start(watch_settings(settings_changed, lambda changed: machine.update_seeds(changed.seed_hosts)))
    if settings.listen.control:
        app = make_app(machine.service)
        control = make_server(app, settings.listen.control, CONTROL_SHUTDOWN_S, CONTROL_KEEP_ALIVE_S)
        tasks.start(serve_until(control, stop))
    log.info("store_started address=%s:%d", settings.ip, settings.internal_port)

    await stop.wait()
    machine.transfer_leadership()
    await asyncio.sleep(LEADERSHIP_TRANSFER_S)
    listener.close()
    tasks.cancel()
    machine.close()
    log.info("store_stopped")
    return 1 if tasks.failed else 0
