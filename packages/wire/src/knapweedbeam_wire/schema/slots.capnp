@0xe02d9c4b7a1f6583;
# Messages of endpoints, of their keepers and of the holders of their slots.

struct Announcement {
  endpoint @0 :Text;
  service @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  worker @4 :Text;
  incarnation @5 :Int64;
  sequence @6 :Int64;
  slots @7 :Int64;
  connections @8 :Int64;
  leaving @9 :Bool;
}

struct UsageReport {
  worker @0 :Text;
  asOfMs @1 :Int64;
  cpuMillis @2 :Int64;
  cpuMillisInUse @3 :Int64;
  memoryMib @4 :Int64;
  memoryMibInUse @5 :Int64;
}

struct Seen {
  announcement @0 :Announcement;
  ageMs @1 :Int64;
}

struct Refresh {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
  ageMs @3 :Int64;
}

struct EndpointsSeen {
  seen @0 :List(Seen);
  refreshes @1 :List(Refresh);
}

struct EndpointLeft {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
}

struct Returned {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  total @2 :Int64;
  speedPercent @3 :Int64;
}

struct Demand {
  service @0 :Text;
  member @1 :Text;
  slots @2 :Int64;
}

struct HealthNote {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  health @2 :Text;
  speedPercent @3 :Int64;
}

struct HolderDelta {
  receiverIncarnation @0 :Int64;
  session @1 :Int64;
  sentMs @2 :Int64;
  since @3 :Int64;
  version @4 :Int64;
  returned @5 :List(Returned);
  demands @6 :List(Demand);
  notes @7 :List(HealthNote);
}

struct Grant {
  announcement @0 :Announcement;
  total @1 :Int64;
  revoked @2 :Bool;
  trial @3 :Bool;
  speedPercent @4 :Int64;
}

struct Share {
  member @0 :Text;
  slots @1 :Int64;
}

struct Allotment {
  service @0 :Text;
  bounded @1 :Bool;
  slots @2 :Int64;
  shares @3 :List(Share);
}

struct FreeSlots {
  service @0 :Text;
  slots @1 :Int64;
  speedPercent @2 :Int64;
}

struct KeeperDelta {
  receiverIncarnation @0 :Int64;
  session @1 :Int64;
  echoMs @2 :Int64;
  stalestMs @3 :Int64;
  since @4 :Int64;
  version @5 :Int64;
  grants @6 :List(Grant);
  allotments @7 :List(Allotment);
  free @8 :List(FreeSlots);
}

struct HeldSlots {
  announcement @0 :Announcement;
  slots @1 :Int64;
}

struct SlotsShown {
  receiverIncarnation @0 :Int64;
  shown @1 :List(HeldSlots);
}

struct ServiceCapacity {
  service @0 :Text;
  endpoints @1 :Int64;
  slots @2 :Int64;
  cpuMillis @3 :Int64;
  memoryMib @4 :Int64;
}

struct Capacity {
  version @0 :Int64;
  services @1 :List(ServiceCapacity);
}

struct UsageSeen {
  reports @0 :List(UsageReport);
}
