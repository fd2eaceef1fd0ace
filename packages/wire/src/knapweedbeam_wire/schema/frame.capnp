@0xb1f30c2a7d5e9a41;
# The body of a frame on a link: a batch of messages to one process.

struct Packed {
  kind @0 :Text;   # name of the message's struct
  body @1 :Data;   # the struct as an unpacked Cap'n Proto message
}

struct Frame {
  messages @0 :List(Packed);
}
