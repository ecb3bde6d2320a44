"""The settings are checked at the start, and each error names the invalid setting."""

import contextlib
import socket
import tempfile
import threading
import unittest
from unittest import mock

from click.testing import CliRunner, Result

from gooseberrydock import ctl_main, node_main, standin_main
from gooseberrydock.members import Address
from gooseberrydock.options import NodeOptions

_VALID_ARGUMENTS = ["--node-id", "n", "--failure-domain", "d", "--store", "127.0.0.1:9"]

ERROR_CASES = [
    (["--failure-domain", "d"], "--node-id"),
    (["--node-id", "n"], "--failure-domain"),
    (["--node-id", "n", "--failure-domain", "d"], "--seed or --store"),
    ([*_VALID_ARGUMENTS, "--entry-listen", "localhost:80"], "IP address"),
    ([*_VALID_ARGUMENTS, "--entry-listen", "127.0.0.1:99999"], "not a port"),
    ([*_VALID_ARGUMENTS, "--peer-listen", "127.0.0.1"], "not host:port"),
    ([*_VALID_ARGUMENTS, "--cluster-key", "short"], "--cluster-key"),
    ([*_VALID_ARGUMENTS, "--max-body-bytes", "0"], "--max-body-bytes"),
    ([*_VALID_ARGUMENTS, "--memory-mb", "0"], "--memory-mb"),
    ([*_VALID_ARGUMENTS, "--memory-mb", "1"], "--memory-mb is too small"),
    ([*_VALID_ARGUMENTS, "--max-fds", "200"], "--max-fds"),
    ([*_VALID_ARGUMENTS, "--stop-timeout-ms", "-1"], "--stop-timeout-ms"),
    ([*_VALID_ARGUMENTS, "--log-level", "loud"], "--log-level"),
]


class OptionsTest(unittest.TestCase):
    """The settings of the node and of the stand-ins."""

    def test_bad_settings_are_refused_and_named(self) -> None:
        for arguments, expected_text in ERROR_CASES:
            with self.subTest(arguments=arguments):
                result = CliRunner().invoke(node_main.main, arguments)
                self.assertNotEqual(result.exit_code, 0)
                self.assertIn(expected_text, result.output)

    def test_settings_come_from_flags_and_from_the_environment(self) -> None:
        received_options: list[NodeOptions] = []
        environment = {"GOOSEBERRYDOCK_NODE_ID": "from-env", "GOOSEBERRYDOCK_SEED": "10.0.0.1:7"}
        with mock.patch("trio.run", lambda _, options: received_options.append(options)):
            result = CliRunner().invoke(
                node_main.main, ["--failure-domain", "from-flag"], env=environment
            )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(
            (received_options[0].node_id, received_options[0].failure_domain),
            ("from-env", "from-flag"),
        )
        self.assertEqual(received_options[0].seeds, (Address("10.0.0.1", 7),))

    def test_bad_declared_call_of_the_standin_is_refused(self) -> None:
        arguments = ["target", "--service", "s", "--node-local", "127.0.0.1:9", "--calls", "oops"]
        result = CliRunner().invoke(standin_main.main, arguments)
        self.assertNotEqual(result.exit_code, 0)
        self.assertIn("operation=service/operation", result.output)


class CommandTest(unittest.TestCase):
    """Operators' commands report what they could not do."""

    def _invoke(self, arguments: list[str], status: int) -> Result:
        """Run a command against a program that answers every request with a status."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            threading.Thread(target=_respond, args=(listener, status), daemon=True).start()
            return CliRunner().invoke(ctl_main.main, [*arguments, "--admin", address])

    def test_drain_fails_unless_the_node_accepts_it(self) -> None:
        for status, exit_code in ((202, 0), (404, 1), (503, 1)):
            with self.subTest(status=status):
                result = self._invoke(["drain"], status)
                self.assertEqual(exit_code, result.exit_code, result.output)

    def test_status_of_another_program_is_no_answer(self) -> None:
        result = self._invoke(["status"], 404)
        self.assertEqual(1, result.exit_code)
        self.assertIn("no answer", result.output)

    def test_wait_needs_nodes_to_wait_for(self) -> None:
        with tempfile.NamedTemporaryFile(suffix=".csv") as file:
            arguments = ["sheet", "apply", file.name, "--store", "127.0.0.1:9", "--wait"]
            result = CliRunner().invoke(ctl_main.main, arguments)
        self.assertEqual(2, result.exit_code)
        self.assertIn("--admin", result.output)


def _respond(listener: socket.socket, status: int) -> None:
    with contextlib.suppress(OSError):
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 %d x\r\ncontent-length: 2\r\n\r\n{}" % status)
