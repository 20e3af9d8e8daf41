"""The entry daemon."""

import asyncio
import sys
from pathlib import Path

import fire

from cactuspass._allocator import return_large_blocks
from cactuspass._entry import Entry
from cactuspass._logs import StateLog
from cactuspass._stop_signal import StopSignal
from cactuspass.exceptions import SettingsError
from cactuspass.settings import Settings, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


async def run_entry(settings: Settings, log: StateLog) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain and stop it."""
    with StopSignal() as stop_signal:
        entry = Entry(settings, log)
        await entry.start()
        signal_time = await stop_signal.wait()
        await entry.drain(signal_time.received)
        await entry.stop()


def run(settings: str, check: bool = False) -> int:
    """Run an entry daemon.

    :param settings: path of the TOML file with the settings.
    :param check: only check the settings.
    :return: exit status; 2 if the settings are invalid.
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if check:
        print(f"{settings}: no mistakes")
        return EXIT_OK
    file = loaded.logging.file
    stream = None if file is None else Path(file).open("a", encoding="utf-8")  # noqa: SIM115
    log = StateLog(loaded.logging.format, loaded.logging.level, stream, entry=loaded.entry_id)
    return_large_blocks()
    try:
        asyncio.run(run_entry(loaded, log))
    except OSError as error:
        log.error("failed", reason=error)
        return EXIT_FAILED
    return EXIT_OK


def main() -> None:
    """Run the daemon from the command line."""
    sys.exit(fire.Fire(run, name="cactuspassd", serialize=lambda result: None))


if __name__ == "__main__":
    main()
