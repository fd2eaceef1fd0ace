@0xc7b1a5f20d4e8361;
# Heartbeats and stop notices between entry VMs.

struct FreeSlots {
  service @0 :Text;
  slots @1 :Int64;
  speedPercent @2 :Int64;
}

struct Heartbeat {
  sequence @0 :Int64;
  sentMs @1 :Int64;
  receiverIncarnation @2 :Int64;
  echoMs @3 :Int64;
  session @4 :Int64;
  required @5 :Int64;
  stalestMs @6 :Int64;
  returnsApplied @7 :Int64;
  heldSession @8 :Int64;
  grantsApplied @9 :Int64;
  capacityKnown @10 :Int64;
  free @11 :List(FreeSlots);
}

struct Stopping {
}
