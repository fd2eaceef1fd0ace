"""Load a settings file and collect all its problems."""

from __future__ import annotations

import configparser
import dataclasses
import difflib
import pathlib
import secrets
import typing

from knapweedbeam_server.config import checks, options, problems, schema, settings

FILE_LIMIT_BYTES = 2**20
NO_SECTION = ""
PEER_ALLOWED = "a failure domain and an address, such as b 127.1.2.1:7000"
SOURCE_NAME = "settings"

Values = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The settings and problems of a file; no settings if it cannot be read."""

    settings: settings.Settings | None
    problems: tuple[problems.Problem, ...]


class Loader:
    """Reads one parsed file section by section and collects its problems."""

    def __init__(self, parser: configparser.ConfigParser, context: options.Context):
        self.parser = parser
        self.context = context
        self.problems: list[problems.Problem] = []

    def add_error(self, section: str, key: str, found: str, allowed: str) -> None:
        """Add one error to the problems."""
        severity = problems.Severity.ERROR
        self.problems.append(problems.Problem(severity, section, key, found, allowed))

    def check_sections(self) -> None:
        """Report sections that the schema does not have."""
        allowed_names = [section.title for section in schema.SECTIONS] + [schema.PEERS]
        for name in self.parser.sections():
            if name not in allowed_names:
                self.add_error(
                    name, "", "an unknown section", suggest(name, allowed_names)
                )

    def get_texts(self, section: str) -> dict[str, str]:
        """Return a section's keys and texts; empty if the section is missing."""
        if not self.parser.has_section(section):
            return {}
        return {key: text.strip() for key, text in self.parser.items(section)}

    def load_section(self, section: type[schema.Section]) -> Values:
        """Return the values of a section by attribute name."""
        texts = self.get_texts(section.title)
        values: Values = {}
        keys = []
        for name, option in section.get_options().items():
            key = option.key or name
            keys.append(key)
            value = self.parse(section.title, key, option, texts.pop(key, None))
            values[name] = value
        for key in texts:
            self.add_error(section.title, key, "an unknown key", suggest(key, keys))
        return values

    def parse(
        self,
        section: str,
        key: str,
        option: options.Option[typing.Any],
        text: str | None,
    ) -> typing.Any:
        """Return an option's value; add an error and use the default if invalid."""
        default = option.parse(option.default, self.context)
        if text is None:
            return default
        value = option.parse(text, self.context)
        if isinstance(value, options.Invalid):
            self.add_error(section, key, value.found or "nothing", value.allowed)
            return default
        return value

    def load_peers(self) -> tuple[settings.PeerAddress, ...]:
        """Return the other entry VMs."""
        peers = []
        for name, text in self.get_texts(schema.PEERS).items():
            peer = parse_peer(name, text)
            if isinstance(peer, options.Invalid):
                self.add_error(schema.PEERS, name, peer.found, peer.allowed)
            else:
                peers.append(peer)
        return tuple(peers)

    def load(self) -> Loaded:
        """Return the settings and every problem found in them."""
        self.check_sections()
        sections = {
            section.title: section.build(**self.load_section(section))
            for section in schema.SECTIONS
        }
        loaded = settings.Settings(peers=self.load_peers(), **sections)
        invalid_sections = frozenset(problem.section for problem in self.problems)
        self.problems += checks.check(loaded, invalid_sections)
        return Loaded(loaded, tuple(self.problems))


def load_settings(
    path: pathlib.Path | None,
) -> settings.Settings | problems.SettingsProblems:
    """Load and check a file; without one, return standalone default settings."""
    loaded = load_with_problems(path)
    if loaded.settings is None or problems.has_error(loaded.problems):
        return problems.SettingsProblems(loaded.problems)
    return loaded.settings


def load_with_problems(path: pathlib.Path | None) -> Loaded:
    """Load and check a file; return its warnings too."""
    parser = build_parser()
    if path is None:
        loaded = Loader(parser, options.Context(pathlib.Path.cwd())).load()
        return fill_keys(loaded)
    try:
        parser.read_string(read_text(path), SOURCE_NAME)
    except (OSError, ValueError, configparser.Error) as error:
        return Loaded(None, (describe_file_error(path, error),))
    folder = path.absolute().parent
    return fill_keys(Loader(parser, options.Context(folder)).load())


def fill_keys(loaded: Loaded) -> Loaded:
    """Replace empty secrets by random ones, valid for this run only."""
    if loaded.settings is None:
        return loaded
    keys = loaded.settings.keys
    filled = settings.Keys(
        link_key=keys.link_key or secrets.token_bytes(options.KEY_BYTES),
        ticket_key=keys.ticket_key or secrets.token_bytes(options.KEY_BYTES),
    )
    return Loaded(dataclasses.replace(loaded.settings, keys=filled), loaded.problems)


def build_parser() -> configparser.ConfigParser:
    """Return a parser without interpolation that keeps the case of keys."""
    parser = configparser.ConfigParser(
        interpolation=None,
        inline_comment_prefixes=(";",),
        default_section=NO_SECTION,
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def read_text(path: pathlib.Path) -> str:
    """Read a settings file; raise `OSError` or `ValueError` on failure."""
    with path.open("rb") as file:
        text = file.read(FILE_LIMIT_BYTES + 1)
    if len(text) > FILE_LIMIT_BYTES:
        raise ValueError(f"more than {FILE_LIMIT_BYTES} bytes")
    return text.decode()


def describe_file_error(path: pathlib.Path, error: Exception) -> problems.Problem:
    """Return the problem of a file that cannot be read as INI."""
    found = f"{path}: " + " ".join(str(error).split())
    allowed = "an INI file in UTF-8 with each section and key once"
    return problems.Problem(problems.Severity.ERROR, "", "", found, allowed)


def parse_peer(name: str, text: str) -> settings.PeerAddress | options.Invalid:
    """Return the peer that one line of the peers section describes."""
    if not options.NAME.fullmatch(name):
        return options.Invalid(f"the name {name}", options.NAME_ALLOWED)
    domain, _, address_text = text.partition(" ")
    address = options.parse_address(address_text.strip())
    if address is None or not options.NAME.fullmatch(domain):
        return options.Invalid(text or "nothing", PEER_ALLOWED)
    return settings.PeerAddress(name, domain, address)


def suggest(word: str, allowed_names: list[str]) -> str:
    """Return the allowed words; a close match is suggested first."""
    matches = difflib.get_close_matches(word, allowed_names, n=1)
    names = ", ".join(allowed_names)
    return f"{matches[0]} (did you mean it?), or one of {names}" if matches else names
