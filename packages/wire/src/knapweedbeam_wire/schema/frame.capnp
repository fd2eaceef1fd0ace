@0xb1f30c2a7d5e9a41;
# What one frame on a link carries: a batch of messages to one process.

struct Packed {
  kind @0 :Text;   # struct name of the message
  body @1 :Data;   # that struct, as an unpacked Cap'n Proto message
}

struct Frame {
  messages @0 :List(Packed);
}
