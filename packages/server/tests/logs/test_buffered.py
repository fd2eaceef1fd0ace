from __future__ import annotations

import os
import unittest
import unittest.mock

from knapweedbeam_server.logs import buffered


class BufferedStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.stream = buffered.BufferedStream(self.writer)

    def test_lines_are_complete_and_in_order(self) -> None:
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.stream.drain()
        self.assertEqual(os.read(self.reader, 100), b"one\ntwo\n")

    def test_stalled_reader_does_not_block_and_loses_no_part_of_a_line(
        self,
    ) -> None:
        line = "x" * 999 + "\n"
        for _ in range(300):
            self.stream.write(line)
            self.stream.drain()
        read = b""
        while len(read) < 300_000:
            read += os.read(self.reader, 65_536)
            self.stream.drain()
        self.assertEqual(read, line.encode() * 300)

    def test_no_write_is_longer_than_a_pipe_takes_as_a_whole(self) -> None:
        for number in range(100):
            self.stream.write(f"{number:099d}\n")
        with unittest.mock.patch.object(os, "write", wraps=os.write) as write:
            self.stream.drain()
        sizes = [len(call.args[1]) for call in write.call_args_list]
        self.assertEqual(sum(sizes), 10_000)
        self.assertLessEqual(max(sizes), 4_096)

    def test_dropped_lines_are_counted(self) -> None:
        for _ in range(buffered.MAX_BUFFERED_LINES + 7):
            self.stream.write("a\n")
        self.stream.drain()
        self.assertTrue(os.read(self.reader, 65_536).endswith(b'{"dropped_lines":7}\n'))


if __name__ == "__main__":
    unittest.main()
