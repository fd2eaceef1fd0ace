@0xd6a1c5f0937e2b48;
# Messages between coordinators; see messages.py and key_messages.py in core/tickets.

struct TaskSpec {
  payload @0 :Data;
  cpuMillis @1 :Int64;
  memoryMib @2 :Int64;
  runMs @3 :Int64;
}

struct Complete {
  answers @0 :List(Data);
}

struct NotRun {
  reason @0 :Text;
  retryAfterMs @1 :Int64;
}

struct Failed {
  reason @0 :Text;
  mayHaveRun @1 :Bool;
}

struct Refusal {
  reason @0 :Text;
  detail @1 :Text;
}

struct Outcome {
  union {
    complete @0 :Complete;
    notRun @1 :NotRun;
    failed @2 :Failed;
  }
}

struct Result {
  union {
    complete @0 :Complete;
    notRun @1 :NotRun;
    failed @2 :Failed;
    refusal @3 :Refusal;
  }
}

struct SubmitJob {
  ticket @0 :Text;
  member @1 :Text;
  service @2 :Text;
  jobClass @3 :Text;
  leftMs @4 :Int64;
  tasks @5 :List(TaskSpec);
  repeatable @6 :Bool;
}

struct FindOutcome {
  ticket @0 :Text;
  member @1 :Text;
}

struct CancelTicket {
  ticket @0 :Text;
  member @1 :Text;
}

struct TicketPending {
  ticket @0 :Text;
}

struct TicketAnswered {
  ticket @0 :Text;
  result @1 :Result;
  bodyDigest @2 :Data;
}

struct WrongRun {
  ticket @0 :Text;
}

struct BeginJob {
  ticket @0 :Text;
  member @1 :Text;
}

struct BeginRecorded {
  ticket @0 :Text;
}

struct BeginRefused {
  ticket @0 :Text;
  reason @1 :Text;
}

struct SettleJob {
  ticket @0 :Text;
  member @1 :Text;
  outcome @2 :Outcome;
  retentionMs @3 :Int64;
  urgent @4 :Bool;
}

struct SettleRecorded {
  tickets @0 :List(Text);
}

struct SealTicket {
  ticket @0 :Text;
  member @1 :Text;
  insists @2 :Bool;
}

struct SealRefused {
  ticket @0 :Text;
  ownerLive @1 :Bool;
}

struct ClaimKey {
  epoch @0 :Int64;
  digest @1 :Data;
  ticket @2 :Text;
}

struct KeyClaimed {
  wanted @0 :Text;
  ticket @1 :Text;
}

struct ClaimRefused {
  wanted @0 :Text;
}

struct RecordClaim {
  epoch @0 :Int64;
  digest @1 :Data;
  ticket @2 :Text;
}

struct ClaimRecorded {
  epoch @0 :Int64;
  digest @1 :Data;
  ticket @2 :Text;
}

struct Claim {
  digest @0 :Data;
  ticket @1 :Text;
}

struct FetchRanges {
  epoch @0 :Int64;
  heldEpoch @1 :Int64;
  ranges @2 :List(Int64);
}

struct RangeHandedOver {
  epoch @0 :Int64;
  asker @1 :Int64;
  index @2 :Int64;
  snapshot @3 :Int64;
  part @4 :Int64;
  parts @5 :Int64;
  claims @6 :List(Claim);
}

struct AskNotes {
  turn @0 :Int64;
}

struct OpenedRanges {
  domain @0 :Text;
  ranges @1 :List(Int64);
}

struct NotesTold {
  asker @0 :Int64;
  turn @1 :Int64;
  synced @2 :Bool;
  notes @3 :List(OpenedRanges);
  concluded @4 :Bool;
}

struct NoteOpened {
  domain @0 :Text;
  ranges @1 :List(Int64);
}

struct OpenedNoted {
  asker @0 :Int64;
  ranges @1 :List(Int64);
}
