"""Tests of the daemon's settings."""

from dataclasses import fields
from pathlib import Path
from typing import get_type_hints

import pytest

from camphoryard.settings import Settings, SettingsError, read_settings

GOOD = """
[node]
id = "node-1"
zone = "a"
host = "127.0.0.1"
http_port = 8001
peer_port = 9001
[platform]
object_api_host = "127.0.0.1"
object_api_port = 7000
[peers]
public_key = "{key}"
secret_key = "{key}"
[access]
operator_tokens = ["secret"]
[access.caller_token_by_id]
meter-app = "secret-2"
""".format(key="k" * 40)


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a settings file."""

    def write_text(text):
        path = tmp_path / "node.toml"
        path.write_text(text)
        return path

    return write_text


class TestReadSettings:
    """Reading and validating settings."""

    def test_valid_file(self, write):
        """Settings that the file omits have their defaults."""
        settings = read_settings(write(GOOD))
        assert settings.node.id == "node-1"
        assert settings.decisions.routing == "two_choices"

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ("http_port = 8001", 'http_port = "x"', "node.http_port: Expected `int`"),
            ("http_port = 8001", "http_prot = 8001", "node.http_prot: unknown field"),
            ("http_port = 8001", "http_port = 0", "node.http_port: expected a port"),
            (
                "peer_port = 9001",
                'peer_port = 9001\nsource_host = "vm-1"',
                "node.source_host: expected an IP address",
            ),
            (
                "[peers]",
                '[peers]\nadvertised_host = "vm-1"',
                "peers.advertised_host: expected an IP address",
            ),
            (
                "[peers]",
                "[peers]\nadvertised_port = 70000",
                "peers.advertised_port: expected a port",
            ),
            ('zone = "a"', "", "missing required field `zone`"),
            ("k" * 40, "k", "peers.public_key: expected a CURVE key"),
            ('["secret"]', '[""]', "access.operator_tokens"),
            (
                "[access]",
                "[serving]\nmax_answer_bytes = 0\n[access]",
                "serving.max_answer_bytes: expected bytes above 0",
            ),
        ],
    )
    def test_error_names_the_field(self, write, old, new, message):
        """An error names the file, the field and what was expected."""
        path = write(GOOD.replace(old, new))
        with pytest.raises(SettingsError) as caught:
            read_settings(path)
        assert str(path) in str(caught.value)
        assert message in str(caught.value)

    def test_missing_file(self, tmp_path):
        """A missing file is reported."""
        with pytest.raises(SettingsError, match="cannot be read"):
            read_settings(tmp_path / "none.toml")

    def test_repr_has_no_secrets(self, write):
        """Settings can be logged without revealing a secret."""
        text = GOOD.replace(f'secret_key = "{"k" * 40}"', f'secret_key = "{"s" * 40}"')
        text = text.replace("[peers]", 'object_api_token = "secret-3"\n[peers]')
        printed = repr(read_settings(write(text)))
        assert "secret-2" not in printed
        assert "secret-3" not in printed
        assert "'secret'" not in printed
        assert "s" * 40 not in printed

    def test_secrets_in_files(self, write, tmp_path):
        """Secrets may be in separate files, with paths relative to the settings."""
        (tmp_path / "key").write_text("s" * 40 + "\n")
        (tmp_path / "access.toml").write_text('operator_tokens = ["from-file"]\n')
        text = GOOD.replace(f'secret_key = "{"k" * 40}"', 'secret_key_file = "key"')
        text = text.replace('operator_tokens = ["secret"]', 'file = "access.toml"')
        settings = read_settings(write(text))
        assert settings.peers.secret_key == "s" * 40
        assert settings.access.operator_tokens == ["from-file"]

    def test_missing_secret_file(self, write):
        """The error names the missing file and the field."""
        text = GOOD.replace(f'secret_key = "{"k" * 40}"', 'secret_key_file = "none"')
        with pytest.raises(SettingsError, match=r"peers\.secret_key_file: none"):
            read_settings(write(text))

    def test_every_field_is_in_the_operators_reference(self):
        """The operators' page documents each field of the settings."""
        page = (Path(__file__).parent.parent / "docs/OPERATING.md").read_text()
        tables = get_type_hints(Settings)
        names = [
            f"`{table}.{item.name}`"
            for table, kind in tables.items()
            for item in fields(kind)
        ]
        assert [name for name in names if name not in page] == []
