@0xe71a4c9036bd825f;
# Messages of jobs between entry VMs and dispatchers, and endpoints' announcements.

struct SubmittedStep {
  count @0 :Int64;
  cpuMillis @1 :Int64;
  memoryMib @2 :Int64;
  gpus @3 :Int64;
  estimateMs @4 :Int64;
  dependsOn @5 :List(Int64);
  requiredLabel @6 :Text;
  dataRack @7 :Text;
  maxPerEndpoint @8 :Int64;
  isGang @9 :Bool;
  isRackLocal @10 :Bool;
  keepsProgress @11 :Bool;
  isLasting @12 :Bool;
  isFilling @13 :Bool;
  targetMs @14 :Int64;
  mayMiss @15 :Int64;
}

struct EndpointNews {
  endpoint @0 :Text;
  bornMs @1 :Int64;
  sequence @2 :Int64;
  service @3 :Text;
  address @4 :Text;
  domain @5 :Text;
  state @6 :Text;
  cpuMillis @7 :Int64;
  memoryMib @8 :Int64;
  gpus @9 :Int64;
  labels @10 :List(Text);
  clockMs @11 :Int64;
  ageMs @12 :Int64;
  rack @13 :Text;
  coldMs @14 :Int64;
}

struct EndpointNewsHeld {
  endpoint @0 :Text;
  bornMs @1 :Int64;
  sequence @2 :Int64;
}

struct EndpointGone {
  endpoint @0 :Text;
  bornMs @1 :Int64;
}

struct Terms {
  queue @0 :Text;
  service @1 :Text;
  priority @2 :Int64;
  maxAttempts @3 :Int64;
  slackFactor @4 :Float64;
  allowanceMs @5 :Int64;
  adviceValidMs @6 :Int64;
}

struct Submit {
  jobId @0 :Text;
  terms @1 :Terms;
  spec @2 :Text;
  steps @3 :List(SubmittedStep);
  ageMs @4 :Int64;
  patienceMs @5 :Int64;
  attemptBase @6 :Int64;
  handIn @7 :Int64;
  token @8 :Int64;
  crashes @9 :List(TaskCrash);
  former @10 :List(Text);
  domain @11 :Text;
}

struct TaskCrash {
  task @0 :Text;
  number @1 :Int64;
  isEarly @2 :Bool;
  endpoint @3 :Text;
  bornMs @4 :Int64;
  address @5 :Text;
}

struct TaskCrashed {
  jobId @0 :Text;
  crash @1 :TaskCrash;
}

struct Withdraw {
  jobId @0 :Text;
  handIn @1 :Int64;
}

struct ConfirmJob {
  jobId @0 :Text;
  questionMs @1 :Int64;
}

struct JobConfirmed {
  jobId @0 :Text;
  questionMs @1 :Int64;
}

struct JobComplete {
  jobId @0 :Text;
}

struct JobFailed {
  jobId @0 :Text;
  reason @1 :Text;
}

struct JobRefused {
  jobId @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :Int64;
  handIn @3 :Int64;
}

struct CancelOpenJob {
  jobId @0 :Text;
  queue @1 :Text;
  ageMs @2 :Int64;
}

struct JobCancelled {
  jobId @0 :Text;
  handIn @1 :Int64;
}

struct NotDispatching {
  jobId @0 :Text;
  following @1 :Text;
  handIn @2 :Int64;
}

struct StoredJob {
  jobId @0 :Text;
  terms @1 :Terms;
  spec @2 :Text;
  steps @3 :List(SubmittedStep);
  repeatCount @4 :Int64;
  startAtMs @5 :Int64;
  intervalMs @6 :Int64;
}

struct KeepJob {
  number @0 :Int64;
  job @1 :StoredJob;
}

struct CancelJob {
  number @0 :Int64;
  jobId @1 :Text;
  queue @2 :Text;
}

struct LookUpJob {
  number @0 :Int64;
  jobId @1 :Text;
  queue @2 :Text;
}

struct CountWaiting {
  number @0 :Int64;
  queue @1 :Text;
}

struct Told {
  number @0 :Int64;
  verdict @1 :Text;
  waiting @2 :Int64;
}

struct NotedEnd {
  endpoint @0 :Text;
  bornMs @1 :Int64;
  place @2 :Int64;
  task @3 :Text;
  number @4 :Int64;
  isDone @5 :Bool;
}

struct NoteEnds {
  fence @0 :Int64;
  ends @1 :List(NotedEnd);
}

struct NoteCrashes {
  crashes @0 :List(TaskCrash);
  isRetracted @1 :Bool;
}

struct BeginDispatch {
  fence @0 :Int64;
  askedMs @1 :Int64;
}

struct LearnedSpeed {
  endpoint @0 :Text;
  bornMs @1 :Int64;
  speed @2 :Float64;
  samples @3 :Int64;
}

struct SpeedsLearned {
  speeds @0 :List(LearnedSpeed);
}
