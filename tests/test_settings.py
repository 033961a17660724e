"""Tests of the daemon's settings."""

import pytest

from camphoryard.settings import SettingsError, read_settings

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
    """Reading and checking settings."""

    def test_good(self, write):
        """A complete file is read, defaults filled in."""
        settings = read_settings(write(GOOD))
        assert settings.node.id == "node-1"
        assert settings.decisions.routing == "two_choices"

    @pytest.mark.parametrize(
        ("old", "new", "told"),
        [
            ("http_port = 8001", 'http_port = "x"', "node.http_port: Expected `int`"),
            ("http_port = 8001", "http_prot = 8001", "node.http_prot: unknown field"),
            ("http_port = 8001", "http_port = 0", "node.http_port: expected a port"),
            ('zone = "a"', "", "missing required field `zone`"),
            ("k" * 40, "k", "peers.public_key: expected a CURVE key"),
            ('["secret"]', '[""]', "access.operator_tokens"),
        ],
    )
    def test_names_the_field(self, write, old, new, told):
        """An error names the file, the field and what was expected."""
        path = write(GOOD.replace(old, new))
        with pytest.raises(SettingsError) as caught:
            read_settings(path)
        assert str(path) in str(caught.value)
        assert told in str(caught.value)

    def test_missing_file(self, tmp_path):
        """A file that is not there is said so."""
        with pytest.raises(SettingsError, match="cannot be read"):
            read_settings(tmp_path / "none.toml")
