@0xc4d15f1e6a7b2f08;
# Messages of bundles, token leases and the replicated log of the control VMs.

struct ReplicaId {
  name @0 :Text;
  identity @1 :Text;
}

struct ReplicaHello {
  sender @0 :ReplicaId;
  founded @1 :Bool;
}

struct PreVote {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
}

struct PreVoteReply {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  granted @3 :Bool;
}

struct Vote {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
}

struct VoteReply {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  granted @3 :Bool;
}

struct LeadGivenUp {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  isSuccessor @3 :Bool;
}

struct AppendEntries {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  prevIndex @3 :UInt64;
  prevTerm @4 :UInt64;
  commit @5 :UInt64;
  sentMs @6 :Int64;
  entries @7 :List(Data);
}

struct AppendReply {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  accepted @3 :Bool;
  match @4 :UInt64;
  sentMs @5 :Int64;
}

struct SnapshotChunk {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  index @3 :UInt64;
  size @4 :UInt64;
  offset @5 :UInt64;
  data @6 :Data;
  sentMs @7 :Int64;
}

struct SnapshotReply {
  sender @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  index @3 :UInt64;
  offset @4 :UInt64;
  done @5 :Bool;
  sentMs @6 :Int64;
}

struct BundleAsk {
  version @0 :UInt64;
  revision @1 :UInt64;
}

struct BundleNotice {
  version @0 :UInt64;
  digest @1 :Text;
  term @2 :UInt64;
  leader @3 :Text;
  settled @4 :UInt64;
}

struct BundleFetch {
  version @0 :UInt64;
  base @1 :Text;
}

struct BundleText {
  version @0 :UInt64;
  digest @1 :Text;
  base @2 :Text;
  data @3 :Data;
}

struct ProposeBundle {
  call @0 :UInt64;
  attempt @1 :UInt64;
  term @2 :UInt64;
  text @3 :Text;
}

struct BundleProposed {
  call @0 :UInt64;
  attempt @1 :UInt64;
  verdict @2 :Text;
  version @3 :UInt64;
  digest @4 :Text;
  again @5 :Bool;
  detail @6 :Text;
  table @7 :InForceTable;
}

struct InForceRow {
  name @0 :Text;
  version @1 :UInt64;
}

struct InForceTable {
  revision @0 :UInt64;
  rows @1 :List(InForceRow);
  unreachableDomains @2 :List(Text);
}

struct ShareAsk {
}

struct ShareReply {
  incarnation @0 :UInt64;
  isFirst @1 :Bool;
}

struct TokenAsk {
  number @0 :UInt64;
  member @1 :Text;
  limit @2 :Text;
  amount @3 :UInt64;
}

struct TokenAsks {
  asks @0 :List(TokenAsk);
}

struct TokenReply {
  incarnation @0 :UInt64;
  number @1 :UInt64;
  amount @2 :UInt64;
}

struct TokenUse {
  number @0 :UInt64;
  used @1 :UInt64;
}

struct TokenReturn {
  uses @0 :List(TokenUse);
}
