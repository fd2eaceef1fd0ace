@0x9d2f6b1c84e05a37;
# Heartbeats between the processes of a deployment and the distribution of manifests.

struct Presence {
  name @0 :Text;
  isCore @1 :Bool;
  domain @2 :Text;
  control @3 :Text;
  isReady @4 :Bool;
  isStopping @5 :Bool;
  generation @6 :Int64;
  highest @7 :Int64;
  following @8 :Text;
  using @9 :Text;
  manifestVersion @10 :Int64;
  members @11 :List(Text);
  leadsLog @12 :Bool;
  hasStored @13 :Bool;
  intervalMs @14 :Int64;
  wantsReply @15 :Bool;
  incarnation @16 :Int64;
  shards @17 :List(ShardOwner);
  refused @18 :List(Int64);
  isOverloaded @19 :Bool;
  evacuationVersion @20 :Int64;
  evacuated @21 :List(Text);
  refusedShards @22 :List(Int64);
}

struct ShardOwner {
  name @0 :Text;
  incarnation @1 :Int64;
  token @2 :Int64;
}

struct Alive {
  intervalMs @0 :Int64;
}

struct ManifestWanted {
  heldVersion @0 :Int64;
}

struct ManifestNews {
  version @0 :Int64;
  packed @1 :Data;
}
