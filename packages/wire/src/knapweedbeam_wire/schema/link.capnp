@0xd3a1c94be0275f18;
# The first message in each direction on a link.

struct Hello {
  name @0 :Text;
  incarnation @1 :Int64;
  nonce @2 :Data;
  proof @3 :Data;   # empty from the dialer; the acceptor's MAC over both nonces
}
