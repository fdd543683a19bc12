"""A request's story and a timeline from the lines of instances."""

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from comfreystair.management import main

LINES = """\
noise without a decision
at=10.000 instance=a event=proofs_lost reason="no answer" proof_age=1.200
at=12.500 instance=a event=retry id=77 target=t-1 failure=lagging
at=13.000 instance=a event=not_served id=77 why="not run, retry" took=0.500
at=13.000 instance=b event=proofs_lost reason="no answer" proof_age=0.100
at=13.100 instance=a event=not_served id=78 why="rate limit" took=0.000
at= instance=a event=torn "
"""


class LogsTest(unittest.TestCase):
    """Commands on a file."""

    def setUp(self) -> None:
        """Write the lines to a file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(pathlib.Path(directory.name) / 'a.log')
        pathlib.Path(self.path).write_text(LINES)

    def run_command(self, *words: str):
        """Run a command of the logs group."""
        return CliRunner().invoke(main, ['logs', *words])

    def test_explain_shows_the_request_and_its_instances_beliefs(self) -> None:
        """Other requests and instances are left out."""
        ran = self.run_command('explain', '77', self.path, '--json')
        self.assertEqual(ran.exit_code, 0, ran.output)
        story = [
            (one['instance'], one['event']) for one in json.loads(ran.output)
        ]
        expected = [('a', 'proofs_lost'), ('a', 'retry'), ('a', 'not_served')]
        self.assertEqual(story, expected)

    def test_unknown_id(self) -> None:
        """One line and exit 1."""
        self.assertEqual(
            self.run_command('explain', '0', self.path).exit_code, 1
        )

    def test_missing_file(self) -> None:
        """A usage error."""
        ran = self.run_command('timeline', '/nowhere/a.log')
        self.assertEqual(ran.exit_code, 2)

    def test_timeline_has_beliefs_only(self) -> None:
        """One line each, with the inputs."""
        lines = self.run_command('timeline', self.path).output.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn('proof_age=1.200', lines[0])

    def test_timeline_shows_why_no_target_is_promoted(self) -> None:
        """Guards against a group that waits without a word to operators."""
        events = ('entry_left_out', 'promotion_unproved', 'losses_settled')
        text = ''.join(
            f'at={number}.0 instance=a event={event} group=permits\n'
            for number, event in enumerate(events)
        )
        pathlib.Path(self.path).write_text(text)
        shown = self.run_command('timeline', self.path).output
        for event in events:
            self.assertIn(event, shown)


if __name__ == '__main__':
    unittest.main()
