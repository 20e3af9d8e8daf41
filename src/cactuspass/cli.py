"""The operators' command line."""

import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import fire

from cactuspass._block_commands import end_block, set_block, stored_blocks
from cactuspass._burn import BurnRow
from cactuspass._operator_api import CommandAnswer, QueryAnswer
from cactuspass._operator_client import OperatorClient
from cactuspass._output import as_json, as_table
from cactuspass._parser import parse_many
from cactuspass._rows import row_set
from cactuspass._statements import Query
from cactuspass.exceptions import ArgumentError, CactuspassError, CommandError
from cactuspass.fleet._explain import explain, read_logs, timeline
from cactuspass.fleet.prompt_parts import block_rows

ENTRY_VARIABLE = "CACTUSPASS_ENTRY"
TOKEN_VARIABLE = "CACTUSPASS_TOKEN"
STORE_VARIABLE = "CACTUSPASS_STORE"
CLEAR_SCREEN = "\x1b[2J\x1b[H"
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_EVERYWHERE = 3


class Commands:
    """Query a fleet, and take data centres, upstreams and groups out of it or return them.

    The entry to connect to is given by --entry HOST:PORT or CACTUSPASS_ENTRY, the operators' token
    by --token or CACTUSPASS_TOKEN. Exit codes: 0 done, 1 failed, 2 mistake in the text or flags,
    3 accepted but not yet confirmed by every entry.
    """

    def __init__(self, entry: str = "", token: str = "") -> None:
        self._entry = entry
        self._token = token

    def ask(self, query: str, json: bool = False, entry: str = "", token: str = "") -> None:
        """Answer one query, such as "waiting by customer" or "groups where serving = false".

        :param query: waiting, groups, upstreams, held, stranded, entries, alarms, declarations,
            take outs, in force or counters, with clauses by, where, order by and limit.
        :param json: print JSON instead of a table.
        """
        _print_answer(self._client(entry, token).ask(str(query)), json)

    def do(
        self,
        command: str,
        wait: float = 5.0,
        json: bool = False,
        entry: str = "",
        token: str = "",
    ) -> None:
        """Carry out one command, such as "take out data centre sapa-a".

        :param command: take out, return, declare group, remove group or recommit configuration.
        :param wait: seconds to wait for every entry to confirm.
        :param json: print JSON instead of text.
        """
        answer = self._client(entry, token).order(str(command), float(wait))
        _print_command(answer, json)
        if answer.not_confirmed:
            sys.exit(EXIT_NOT_EVERYWHERE)

    def run(self, file: str, wait: float = 5.0, entry: str = "", token: str = "") -> None:
        """Run the queries and commands of a file, one in each line, after checking all of them.

        :param file: path of the file; lines that begin with # are comments.
        """
        text = Path(file).read_text(encoding="utf-8")
        statements = parse_many(text)
        lines = [line for line in text.splitlines() if line.split("#", 1)[0].strip()]
        client = self._client(entry, token)
        for line, statement in zip(lines, statements, strict=True):
            print(f"> {line}")
            if isinstance(statement, Query):
                _print_answer(client.ask(line), False)
            else:
                _print_command(client.order(line, float(wait)), False)

    def watch(
        self,
        query: str,
        interval: float = 2.0,
        times: int = 0,
        entry: str = "",
        token: str = "",
    ) -> None:
        """Repeat a query and show the latest answer.

        :param interval: seconds between two answers.
        :param times: number of answers; 0 repeats until interrupted.
        """
        client = self._client(entry, token)
        count = 0
        while not times or count < times:
            if count:
                time.sleep(float(interval))
            answer = client.ask(str(query))
            if sys.stdout.isatty():
                print(CLEAR_SCREEN, end="")
            _print_answer(answer, False)
            count += 1

    def burn(self, json: bool = False, plot: str = "", entry: str = "", token: str = "") -> None:
        """Report how fast each objective's error budget is used up.

        :param json: print JSON instead of a table.
        :param plot: also draw the report to this .png or .svg file.
        """
        answer = self._client(entry, token).burn()
        if plot:
            # Importing the plotting library takes longer than the rest of the command.
            from cactuspass._burn_plot import plot_burn

            plot_burn(answer.rows, Path(plot))
        found = row_set(BurnRow, answer.rows)
        print(as_json(found) if json else as_table(found))
        _print_unreachable(answer.unreachable)

    def explain(self, request: str, *files: str) -> None:
        """Explain from decision logs what happened to one request, and why.

        :param request: id of the request.
        :param files: log files of one or more instances.
        """
        for line in explain(str(request), read_logs(files)):
            print(line)

    def timeline(self, *files: str) -> None:
        """Show the state changes and the orders that decision logs record.

        :param files: log files of one or more instances.
        """
        for line in timeline(read_logs(files)):
            print(line)

    def parts(self, store: str = "", json: bool = False) -> None:
        """List the parts of prompts whose requests are refused, from the platform's store.

        :param store: HOST:PORT of the store; CACTUSPASS_STORE by default.
        :param json: print JSON instead of a table.
        """
        found = asyncio.run(stored_blocks(_store_address(store)))
        rows = block_rows(found.active)
        print(as_json(rows) if json else as_table(rows))
        for finding in found.findings:
            print(finding, file=sys.stderr)
        if found.findings:
            sys.exit(EXIT_FAILED)

    def block(
        self,
        service: str,
        model: str,
        part: str,
        customer: str = "",
        reason: str = "",
        store: str = "",
    ) -> None:
        """Refuse requests with a part of the prompt until the block is ended by unblock.

        :param model: "" for a service without models.
        :param part: id of the part; several ids with commas mean prompts that have all of them.
        :param customer: refuse only this customer's requests; several names with commas.
        :param reason: text for other operators.
        :param store: HOST:PORT of the store; CACTUSPASS_STORE by default.
        """
        address = _store_address(store)
        written = asyncio.run(set_block(address, service, model, part, customer, reason))
        customers = ", ".join(written.customer_names) or "all customers"
        print(f"{written.key} is blocked for {customers}, version {written.version}")

    def unblock(
        self, service: str, model: str, part: str, reason: str = "", store: str = ""
    ) -> None:
        """End the block on a part of the prompt, whoever has set it.

        :param model: "" for a service without models.
        :param part: id of the part, or all ids of the block with commas, as parts shows them.
        :param reason: text for other operators.
        :param store: HOST:PORT of the store; CACTUSPASS_STORE by default.
        """
        written = asyncio.run(end_block(_store_address(store), service, model, part, reason))
        print(f"{written.key} is no longer blocked, version {written.version}")

    def _client(self, entry: str, token: str) -> OperatorClient:
        address = entry or self._entry or os.environ.get(ENTRY_VARIABLE, "")
        secret = token or self._token or os.environ.get(TOKEN_VARIABLE, "")
        if not address:
            raise CommandError(f"name the entry by --entry HOST:PORT or {ENTRY_VARIABLE}")
        return OperatorClient(address, secret)


# Without these, an id of digits with one "e" would be read as a number.
_TEXT_ARGUMENTS = ("request", "service", "model", "part", "customer", "reason")
for _command in (Commands.explain, Commands.block, Commands.unblock):
    fire.decorators.SetParseFns(**dict.fromkeys(_TEXT_ARGUMENTS, str))(_command)


def _store_address(store: str) -> str:
    address = store or os.environ.get(STORE_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ArgumentError("--store", f"name the store by --store HOST:PORT or {STORE_VARIABLE}")
    return address


def _print_answer(answer: QueryAnswer, use_json: bool) -> None:
    print(as_json(answer.found) if use_json else as_table(answer.found))
    _print_unreachable(answer.unreachable)


def _print_unreachable(entries: tuple[str, ...]) -> None:
    if entries:
        print(f"no answer from: {', '.join(entries)}", file=sys.stderr)


def _print_command(answer: CommandAnswer, use_json: bool) -> None:
    if use_json:
        print(json.dumps(asdict(answer), indent=2))
        return
    print(f"accepted at revision {answer.revision}" if answer.revision else "accepted by peers")
    if answer.detail:
        print(answer.detail)
    print(f"in force at: {', '.join(answer.in_force) or 'no entry'}")
    if answer.not_confirmed:
        print(f"not confirmed by: {', '.join(answer.not_confirmed)}")


def _print_mistakes(errors: tuple[BaseException, ...]) -> None:
    for error in errors:
        if isinstance(error, CommandError):
            print(f"line {error.line}, column {error.column}: {error}", file=sys.stderr)
        else:
            print(error, file=sys.stderr)


def run_guarded(action: Callable[[], Any]) -> int:
    """Run the command line, print its errors and return the exit code."""
    try:
        action()
    except CommandError as error:
        _print_mistakes((error,))
        return EXIT_USAGE
    except ExceptionGroup as group:
        _print_mistakes(group.exceptions)
        return EXIT_USAGE
    except ArgumentError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except (CactuspassError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_OK
    return EXIT_OK


def main() -> None:
    """Run the command line."""
    sys.exit(run_guarded(lambda: fire.Fire(Commands, name="cactuspass")))


if __name__ == "__main__":
    main()
