"""Tests of tables."""

from camphoryard.cli.tables import print_table


class TestPrintTable:
    """Columns and their widths."""

    def test_long_texts_widen_their_column(self, capsys):
        """Columns do not overlap, and lines have no trailing blanks."""
        print_table(("A", "LONG HEAD"), [("longer than A", ""), ("b", "x")])
        assert capsys.readouterr().out == (
            "A              LONG HEAD\nlonger than A\nb              x\n"
        )
