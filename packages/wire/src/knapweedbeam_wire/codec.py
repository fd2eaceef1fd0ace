"""Encode message dataclasses as Cap'n Proto structs and decode them.

A message class and its struct have the same name, and a field `snake_case` of
the class is `snakeCase` in the struct. `int`, `bool`, `str` and `bytes` map to
themselves, a `StrEnum` to `Text`, a tuple to `List`, a dataclass to a struct,
and a union of dataclasses to a struct that holds one unnamed union whose fields
are the class names in `camelCase`.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import functools
import importlib.resources
import struct as structs
import types
import typing

import capnp

from knapweedbeam_core import effects, reasons

TRAVERSAL_LIMIT_WORDS = 16 * 1024 * 1024
NESTING_LIMIT = 16
WORD_BYTES = 8
SEGMENT_NUMBER_BYTES = 4
# The library writes small messages as one segment and large ones as a few.
MAX_SEGMENTS = 512
# Heartbeats without state are a few bytes, and the same from every process.
MAX_CACHED_BYTES = 96
MAX_CACHED_BODIES = 16

Converter = collections.abc.Callable[[typing.Any], typing.Any]
FieldWriter = collections.abc.Callable[[typing.Any, typing.Any], None]


def to_camel_case(name: str) -> str:
    """Return `some_name` or `SomeName` as `someName`."""
    head, *rest = name.split("_")
    words = head[:1].lower() + head[1:]
    return words + "".join(word.capitalize() for word in rest)


def return_unchanged(value: typing.Any) -> typing.Any:
    """Return the value as it is."""
    return value


def check_segments(body: bytes) -> None:
    """Check that a message has exactly the size that its segment table states.

    Raises `ValueError` if not. The library reports it by a C++ exception, which can
    crash the process if it is thrown in a greenlet.
    """
    if len(body) < WORD_BYTES:
        raise ValueError("a message holds at least one word")
    count = structs.unpack_from("<I", body)[0] + 1
    table_bytes = (1 + count) * SEGMENT_NUMBER_BYTES
    table_bytes += -table_bytes % WORD_BYTES
    if count > MAX_SEGMENTS or len(body) < table_bytes:
        raise ValueError(f"a segment table of {count} segments")
    sizes = structs.unpack_from(f"<{count}I", body, SEGMENT_NUMBER_BYTES)
    size = table_bytes + sum(sizes) * WORD_BYTES
    if len(body) != size:
        raise ValueError(f"{len(body)} bytes in place of {size}")


@functools.cache
def load_schema(file_name: str) -> typing.Any:
    """Load a schema file of this package, once in the life of a process."""
    folder = importlib.resources.files("knapweedbeam_wire") / "schema"
    return capnp.load(str(folder / file_name))


class StructCodec:
    """Converts one dataclass to its struct and back."""

    def __init__(self, cls: type) -> None:
        hints = typing.get_type_hints(cls)
        fields = [field.name for field in dataclasses.fields(cls)]
        self.cls = cls
        self.writers = [build_writer(n, to_camel_case(n), hints[n]) for n in fields]
        self.readers = [(n, to_camel_case(n), build_reader(hints[n])) for n in fields]

    def write(self, value: typing.Any, struct: typing.Any) -> None:
        """Copy the fields of `value` to a struct builder."""
        for write in self.writers:
            write(value, struct)

    def read(self, struct: typing.Any) -> typing.Any:
        """Return the dataclass that a struct reader holds."""
        return self.cls(
            **{
                n: read(getattr(struct, wire_name))
                for n, wire_name, read in self.readers
            }
        )


class UnionCodec:
    """Converts a union of dataclasses to a struct with one unnamed union."""

    def __init__(self, classes: tuple[type, ...]) -> None:
        self.by_class = {
            cls: (to_camel_case(cls.__name__), StructCodec(cls)) for cls in classes
        }
        self.by_name = dict(self.by_class.values())

    def write(self, value: typing.Any, struct: typing.Any) -> None:
        """Set the union field of the class of `value`."""
        name, codec = self.by_class[type(value)]
        codec.write(value, struct.init(name))

    def read(self, struct: typing.Any) -> typing.Any:
        """Return the dataclass of the union field that is set."""
        name = struct.which()
        return self.by_name[str(name)].read(getattr(struct, str(name)))


def build_codec(hint: typing.Any) -> StructCodec | UnionCodec | None:
    """Return the codec for a dataclass or a union of them, `None` for other types."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return UnionCodec(typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return StructCodec(typing.cast(type, hint))
    return None


def build_writer(name: str, wire_name: str, hint: typing.Any) -> FieldWriter:
    """Return the function that copies one field of a dataclass to a struct.

    Every nested struct is initialised before it is filled. pycapnp's conversion from
    a `dict` detects by a C++ exception that a union field is not set, and a C++
    exception in a greenlet can crash the process.
    """
    if typing.get_origin(hint) is tuple:
        return build_list_writer(name, wire_name, typing.get_args(hint)[0])
    codec = build_codec(hint)
    if codec is not None:
        fill = codec.write
        return lambda value, struct: fill(getattr(value, name), struct.init(wire_name))
    convert = get_scalar_writer(hint)
    return lambda value, struct: setattr(
        struct, wire_name, convert(getattr(value, name))
    )


def build_list_writer(name: str, wire_name: str, hint: typing.Any) -> FieldWriter:
    """Return the function that copies a tuple to a list."""
    codec = build_codec(hint)
    convert = get_scalar_writer(hint)

    def write(value: typing.Any, struct: typing.Any) -> None:
        items = getattr(value, name)
        if not items:
            return
        builder = struct.init(wire_name, len(items))
        for index, item in enumerate(items):
            if codec is None:
                builder[index] = convert(item)
            else:
                codec.write(item, builder[index])

    return write


def get_scalar_writer(hint: typing.Any) -> Converter:
    """Return the function that converts a value to its type in a struct."""
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        return str
    return return_unchanged


def build_reader(hint: typing.Any) -> Converter:
    """Return the function that converts a value read by pycapnp to a field."""
    if typing.get_origin(hint) is tuple:
        read = build_reader(typing.get_args(hint)[0])
        return lambda values: tuple(read(value) for value in values)
    codec = build_codec(hint)
    if codec is not None:
        return codec.read
    if isinstance(hint, type) and issubclass(hint, (enum.StrEnum, bytes)):
        return hint
    return return_unchanged


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that hold no valid messages; the link that received them is closed."""

    reason: reasons.Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageType:
    """A registered message class with its struct and its codec."""

    name: str
    struct: typing.Any
    codec: StructCodec


class Codec:
    """Encodes batches of registered messages."""

    def __init__(self) -> None:
        self.frame = load_schema("frame.capnp").Frame
        self.by_class: dict[type, MessageType] = {}
        self.by_name: dict[str, MessageType] = {}
        self.last_message: effects.Message | None = None
        self.last_body = b""
        self.decoded: dict[bytes, tuple[effects.Message, ...]] = {}

    def register(self, schema_file: str, *classes: type) -> None:
        """Register message classes whose structs are defined in `schema_file`."""
        schema = load_schema(schema_file)
        for cls in classes:
            message_type = MessageType(
                cls.__name__, getattr(schema, cls.__name__), StructCodec(cls)
            )
            self.by_class[cls] = message_type
            self.by_name[cls.__name__] = message_type

    def encode(self, messages: collections.abc.Sequence[effects.Message]) -> bytes:
        """Return one frame body that holds all `messages`.

        A single message that goes to many peers is encoded once.
        """
        if len(messages) != 1:
            return self.encode_frame(messages)
        if messages[0] is not self.last_message:
            self.last_body = self.encode_frame(messages)
            self.last_message = messages[0]
        return self.last_body

    def encode_frame(
        self, messages: collections.abc.Sequence[effects.Message]
    ) -> bytes:
        """Return the frame body of `messages`."""
        frame = self.frame.new_message()
        packed = frame.init("messages", len(messages))
        for index, message in enumerate(messages):
            message_type = self.by_class[type(message)]
            struct = message_type.struct.new_message()
            message_type.codec.write(message, struct)
            packed[index].kind = message_type.name
            packed[index].body = struct.to_bytes()
        return bytes(frame.to_bytes())

    def decode(self, body: bytes) -> tuple[effects.Message, ...] | Malformed:
        """Return the messages of a frame body, or why the body is malformed.

        Short bodies that come again are decoded once: messages do not change.
        """
        cached = self.decoded.get(body)
        if cached is not None:
            return cached
        try:
            check_segments(body)
            messages = self.decode_frame(body)
        except (capnp.KjException, KeyError, ValueError, TypeError) as error:
            return Malformed(reasons.Reason.INVALID, str(error))
        if len(body) <= MAX_CACHED_BYTES:
            if len(self.decoded) >= MAX_CACHED_BODIES:
                self.decoded.clear()
            self.decoded[body] = messages
        return messages

    def decode_frame(self, body: bytes) -> tuple[effects.Message, ...]:
        """Return the messages of a frame body; raises on malformed bytes.

        Messages of an unknown kind are skipped: newer processes may send them.
        """
        messages = []
        with self.open(self.frame, body) as frame:
            for packed in frame.messages:
                message_type = self.by_name.get(packed.kind)
                if message_type is None:
                    continue
                with self.open(message_type.struct, bytes(packed.body)) as struct:
                    messages.append(message_type.codec.read(struct))
        return tuple(messages)

    def open(self, struct: typing.Any, body: bytes) -> typing.Any:
        """Open a struct reader over bytes, with limits on size and nesting.

        Raises `ValueError` if the bytes are not a whole message.
        """
        check_segments(body)
        return struct.from_bytes(
            body,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        )
