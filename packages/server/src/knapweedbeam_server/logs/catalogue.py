"""Every log event of a process; docs/events.md is generated from this module.

Event numbers are never reused: a new event gets a new number.
"""

from __future__ import annotations

from knapweedbeam_server.logs import event as events

Event = events.Event
Level = events.Level

# 1000: the process.
PROCESS_STARTED = Event(
    1001,
    "process_started",
    Level.INFO,
    "process {process} of {domain} started, version {version}",
    "A new incarnation of the process started.",
)
SETTINGS_LOADED = Event(
    1002,
    "settings_loaded",
    Level.INFO,
    "settings loaded from {source}, {peers} peers",
    "The settings file was read and is valid.",
)
SETTINGS_WARNING = Event(
    1003,
    "settings_warning",
    Level.WARNING,
    "settings: {problem}",
    "The settings are valid, but one of them is probably unintended.",
    "Read the line, correct the file and restart the process.",
)
LISTENING = Event(
    1004,
    "listening",
    Level.INFO,
    "listening for {purpose} at {address}",
    "A port is open.",
)
READY = Event(
    1005,
    "ready",
    Level.INFO,
    "ready with bundle {bundle}",
    "The process accepts callers' work from now on.",
)
NOT_READY = Event(
    1006,
    "not_ready",
    Level.WARNING,
    "not ready: {reason}",
    "The process refuses callers' work as not run; the load balancer leaves it out.",
    "None while it starts or stops; else check the reason and `knapweedctl status`.",
)
LISTEN_FAILED = Event(
    1007,
    "listen_failed",
    Level.ERROR,
    "cannot listen for {purpose} at {address}: {error}",
    "The address is in use or does not belong to this VM. The process exits.",
    "Correct `[listen]`, or end the process that holds the port.",
)
LOOP_STALLED = Event(
    1010,
    "loop_stalled",
    Level.WARNING,
    "event loop blocked for {stall_ms} ms",
    "Nothing was served or sent meanwhile; peers may have considered it lost.",
    "Check whether the VM is short of CPU time or its disk is slow.",
)
FAULT = Event(
    1011,
    "fault",
    Level.ERROR,
    "internal error in {place}: {error}",
    "An error in the program was caught; the work that it affected has failed.",
    "Report it with the surrounding log lines.",
)
STOP_BEGUN = Event(
    1020,
    "stop_begun",
    Level.INFO,
    "stopping, {jobs} jobs to finish within {deadline_ms} ms",
    "The process was asked to stop and finishes its open jobs.",
)
STOP_FORCED = Event(
    1021,
    "stop_forced",
    Level.WARNING,
    "second signal: stopping at once, {cut} requests cut",
    "A second signal ended a graceful stop early.",
    "Callers of aborted requests get the outcome by ticket from another entry VM.",
)
STOP_DEADLINE = Event(
    1022,
    "stop_deadline",
    Level.WARNING,
    "stop deadline reached: {cut} requests cut",
    "A graceful stop took longer than `[stopping] deadline_ms`.",
    "Raise the deadline above the longest task, or lower the jobs' deadlines.",
)
STOPPED = Event(
    1023,
    "stopped",
    Level.INFO,
    "stopped after {took_ms} ms, {cut} requests cut",
    "The process exits now.",
)

# 2000: links between entry VMs.
PEER_UP = Event(
    2001,
    "peer_up",
    Level.INFO,
    "link to {peer} is up, incarnation {incarnation}",
    "The two processes authenticated each other.",
)
PEER_DOWN = Event(
    2002,
    "peer_down",
    Level.WARNING,
    "link to {peer} is down: {reason}",
    "The peer failed, is restarting or is partitioned off.",
    "None for a restart; otherwise check `knapweedctl status` for whole failure "
    "domains that are partitioned off.",
)
LINK_REFUSED_MAC = Event(
    2003,
    "link_refused_mac",
    Level.WARNING,
    "link from {address} refused: authentication failed",
    "The peer has another link key or does not belong to this deployment.",
    "Compare the files of `[keys] link_key_file`; check which host has the address.",
)
LINK_REFUSED_FRAME = Event(
    2004,
    "link_refused_frame",
    Level.WARNING,
    "link of {peer} closed: malformed frame, {detail}",
    "The received bytes are not a message of this version.",
    "Compare the versions of the two processes.",
)
LINK_QUEUE_FULL = Event(
    2005,
    "link_queue_full",
    Level.WARNING,
    "link to {peer} is full: {dropped} messages dropped",
    "The peer reads too slowly. Message loss is tolerated: messages are sent again.",
    "Check the peer's CPU time and its `loop_stalled` events.",
)
MESSAGE_FAILED = Event(
    2007,
    "message_failed",
    Level.ERROR,
    "{kind} from or to {peer} dropped: {error}",
    "An unexpected error came up while one message was handled or encoded. The link "
    "stays open; messages that matter are sent again.",
    "Report it with the surrounding log lines.",
)
PEER_RESTARTED = Event(
    2006,
    "peer_restarted",
    Level.INFO,
    "{peer} is back with incarnation {incarnation}",
    "A new incarnation of the peer has started; the earlier one has ended.",
)

# 3000: callers.
REQUEST_MALFORMED = Event(
    3001,
    "request_malformed",
    Level.INFO,
    "request from {address} refused: {reason}, {detail}",
    "A request violated the API; its connection is closed.",
    "Inform the caller if it continues.",
)
REQUEST_UNAUTHENTICATED = Event(
    3002,
    "request_unauthenticated",
    Level.INFO,
    "request from {address} refused: no valid token",
    "The token is missing or not in the bundle in force.",
    "Check that the caller's token is in the bundle in force.",
)
CONNECTIONS_FULL = Event(
    3003,
    "connections_full",
    Level.WARNING,
    "connection refused: all {limit} are in use",
    "`[caller_limits] connections` is reached.",
    "See the page on reading overload.",
)
MEMORY_REFUSAL = Event(
    3004,
    "memory_refusal",
    Level.WARNING,
    "submission refused as not run: {held} of {limit} bytes held for {scope}",
    "Payloads and answers reached a memory limit; work that had begun continues.",
    "See the page on reading overload.",
)
CALLER_SLOW = Event(
    3005,
    "caller_slow",
    Level.INFO,
    "connection of {address} closed: {detail}",
    "A caller sent its request, or read its answer, too slowly.",
)

# 4000: bundles, the replicated log, limits.
BUNDLE_IN_FORCE = Event(
    4001,
    "bundle_in_force",
    Level.INFO,
    "bundle {version} is in force here, digest {digest}",
    "New work follows this bundle; work that began earlier keeps its own.",
)
PROPOSAL_ANSWERED = Event(
    4002,
    "proposal_answered",
    Level.INFO,
    "proposed bundle answered: {answer}",
    "An operator's bundle was accepted or refused.",
)
BUNDLE_REFUSED = Event(
    4003,
    "bundle_refused",
    Level.WARNING,
    "bundle {version} from {peer} refused: {reason}",
    "A peer offered a bundle that is not signed as the one in force requires.",
    "Compare the peers' versions and `knapweedctl bundle history`.",
)
REPLICA_LEADER = Event(
    4010,
    "replica_leader",
    Level.INFO,
    "leader of the replicated log in term {term}",
    "This process decides on bundles from now on.",
)
REPLICA_FOLLOWER = Event(
    4011,
    "replica_follower",
    Level.INFO,
    "follower in the replicated log in term {term}",
    "Another process leads, or no leader is elected yet.",
)
REPLICA_CANDIDATE = Event(
    4012,
    "replica_candidate",
    Level.INFO,
    "candidate in the replicated log in term {term}",
    "There was no contact with a leader for some time.",
    "See `replica_no_quorum` if it repeats.",
)
REPLICA_LEARNER = Event(
    4013,
    "replica_learner",
    Level.INFO,
    "learner in the replicated log in term {term}",
    "The replica cannot vote until it has every entry.",
)
REPLICA_NO_QUORUM = Event(
    4014,
    "replica_no_quorum",
    Level.WARNING,
    "no quorum of replicas can be reached",
    "No bundle can be rolled out; the one in force stays, and work continues.",
    "See the pages on lost control VMs and on a cut-off failure domain.",
)
REPLICA_WIPED = Event(
    4015,
    "replica_wiped",
    Level.ERROR,
    "the data folder is empty, but this replica has voted before",
    "The replica lost its state and does not vote under its former identity.",
    "Follow the page on a wiped data folder.",
)
STORE_FAILED = Event(
    4020,
    "store_failed",
    Level.ERROR,
    "data folder failed: {reason}, {detail}",
    "A write, a sync or a read failed, or a record is corrupt; the replica stops.",
    "Look at the disk, then follow the page on a wiped data folder.",
)
STORE_REPAIRED = Event(
    4021,
    "store_repaired",
    Level.INFO,
    "data folder: {bytes} bytes of an incomplete record truncated",
    "The process had failed during a write that was not yet acknowledged.",
)
STORE_FULL = Event(
    4022,
    "store_full",
    Level.ERROR,
    "data folder is full: {detail}",
    "Nothing can be written; the replica waits and takes part again once it can.",
    "Free space on the disk.",
)
STORE_HAS_ROOM = Event(
    4023,
    "store_has_room",
    Level.INFO,
    "data folder has room again after {waited_ms} ms",
    "What waited is written, and the replica takes part again.",
)
LIMIT_LEASE_LOST = Event(
    4030,
    "limit_lease_lost",
    Level.WARNING,
    "allotment of limits not renewed: using floor shares only",
    "The replicas cannot be reached, so only this failure domain's floor is used.",
    "See the page on a cut-off failure domain.",
)

# 5000: endpoints.
ENDPOINT_UP = Event(
    5001,
    "endpoint_up",
    Level.INFO,
    "endpoint {endpoint} is up with {slots} slots",
    "An endpoint announced itself to its keeper.",
)
ENDPOINT_LEAVING = Event(
    5002,
    "endpoint_leaving",
    Level.INFO,
    "endpoint {endpoint} is leaving",
    "It gets no new work once the slot leases have expired.",
)
ENDPOINT_LOST = Event(
    5003,
    "endpoint_lost",
    Level.WARNING,
    "endpoint {endpoint} is lost: no announcements arrive",
    "Its announcements stopped; tasks that were sent to it may have run.",
    "Check the worker.",
)
ENDPOINT_EJECTED = Event(
    5004,
    "endpoint_ejected",
    Level.WARNING,
    "endpoint {endpoint} ejected",
    "Tasks of several jobs failed there; it gets only trial tasks.",
    "Follow the page on a bad endpoint.",
)
ENDPOINT_READMITTED = Event(
    5005,
    "endpoint_readmitted",
    Level.INFO,
    "endpoint {endpoint} readmitted",
    "Its trial tasks succeeded.",
)
KEEPER_CHANGED = Event(
    5010,
    "keeper_changed",
    Level.INFO,
    "live in {domain}: {live}; {keeper} keeps {endpoints} endpoints",
    "An entry VM joined or left, so endpoints have another keeper.",
)

# 6000: tickets.
OWNER_LOST = Event(
    6001,
    "owner_lost",
    Level.WARNING,
    "owner {peer} lost: {jobs} tickets sealed here",
    "An entry VM with open jobs is lost: jobs that had not begun end as not run, "
    "the others as failed.",
    "None; callers get the outcome by ticket.",
)
WITNESS_LOST = Event(
    6002,
    "witness_lost",
    Level.WARNING,
    "witness {peer} lost: {jobs} jobs that had not begun abandoned",
    "New tickets name another witness.",
)
SOLO_TICKETS = Event(
    6003,
    "solo_tickets",
    Level.WARNING,
    "no other entry VM of {domain} is live: tickets without a witness",
    "If this process dies now, the outcome of its jobs is unknown.",
    "Restore the failure domain's other entry VMs.",
)

# 7000: deployments whose processes discover each other and have one dispatcher.
FLEET_STARTED = Event(
    7001,
    "fleet_started",
    Level.INFO,
    "process {process} started as {role} in {domain}, first start {first_start}",
    "A new incarnation of the process started.",
)
FLEET_STOPPING = Event(
    7002,
    "fleet_stopping",
    Level.INFO,
    "stopping, {jobs} jobs open",
    "The process was asked to stop and finishes its open jobs.",
)
FLEET_STOPPED = Event(
    7003,
    "fleet_stopped",
    Level.INFO,
    "stopped, {jobs} jobs still open",
    "The process exits now.",
)
FLEET_RELOADED = Event(
    7004,
    "fleet_reloaded",
    Level.INFO,
    "settings reloaded: {seeds} seeds, valid {valid}",
    "The settings file was read again. An invalid file changes nothing.",
)
FLEET_FAILED = Event(
    7005,
    "fleet_failed",
    Level.ERROR,
    "loop {loop} failed: {error}",
    "An unexpected error ended a loop; the process exits so that it is restarted.",
    "Report it with the lines before it.",
)
MEMBER_HEARD = Event(
    7010,
    "member_heard",
    Level.INFO,
    "member {peer} responds, core {core}, generation {generation}",
    "The process was unknown or unresponsive before.",
)
MEMBER_SILENT = Event(
    7011,
    "member_silent",
    Level.WARNING,
    "member {peer} is silent for {silent_ms} ms, interval {interval_ms}, asked {asked}",
    "No message arrived from the process: it ended, is blocked or is partitioned off.",
    "Check its own log, then the network between the two processes.",
)
FOLLOWING = Event(
    7012,
    "following",
    Level.INFO,
    "following dispatcher {dispatcher} of generation {generation}, {jobs} jobs open",
    "Jobs are sent to this dispatcher from now on; open ones are sent again.",
)
OFFICE = Event(
    7013,
    "office",
    Level.INFO,
    "dispatching under token {fence} with {endpoints} endpoints known, shard {shard}",
    "The process is the active dispatcher of the shard; with token 0 it no longer is.",
)
RECOVERY_STEP_REACHED = Event(
    7014,
    "recovery_step_reached",
    Level.INFO,
    "{step} {since_active_ms} ms after becoming dispatcher, {since_start_ms} ms after "
    "the start of the process",
    "The dispatcher reached this step of its recovery for the first time.",
)
LOOP_LAGGED = Event(
    7015,
    "loop_lagged",
    Level.WARNING,
    "event loop: timers up to {timer_lag_ms} ms late, wake-ups {wake_lag_ms} ms, in "
    "{window_ms} ms with {cpu_ms} ms of CPU time",
    "Calls, heartbeats and answers were late by as much; other processes may have "
    "considered this one lost. With little CPU time the process was not scheduled.",
    "Compare the CPU time with the VM's share and the load in `queue_load`.",
)
SHARDS_DIVIDED = Event(
    7016,
    "shards_divided",
    Level.INFO,
    "{endpoints} endpoints in {count} shards, owners {owners} with tokens {fences}; "
    "lead: {lead}",
    "Each owner dispatches on its shard. One shard without an owner means that the "
    "active dispatcher has all endpoints.",
)
SHARD_TOKEN_ENDED = Event(
    7017,
    "shard_token_ended",
    Level.INFO,
    "token {fence} of this process is not used again",
    "An endpoint refused it, or the process had given it up and was named with it once "
    "more. The lead replaces it; until then the shard has no dispatcher.",
)
MANIFEST_IN_FORCE = Event(
    7020,
    "manifest_in_force",
    Level.INFO,
    "manifest {version} in force, {queues} queues, {services} services",
    "Requests that come from now on are handled by this version.",
)
MANIFEST_TAKEN = Event(
    7021,
    "manifest_taken",
    Level.INFO,
    "manifest {version}: {outcome} after {took_ms} ms, version {held} in force",
    "An operator's manifest was answered.",
)
MANIFEST_REFUSED = Event(
    7022,
    "manifest_refused",
    Level.WARNING,
    "manifest refused: {detail}",
    "An operator's manifest is invalid and changed nothing.",
    "Correct the manifest and send it with a higher version.",
)
EVACUATIONS_IN_FORCE = Event(
    7027,
    "evacuations_in_force",
    Level.INFO,
    "evacuations of version {version} in force: {domains}",
    "This process starts nothing in these failure domains from now on.",
)
EVACUATION_TAKEN = Event(
    7028,
    "evacuation_taken",
    Level.INFO,
    "{method} evacuation of {domain}: {outcome} after {took_ms} ms, "
    "version {version} in force",
    "An operator's order was answered.",
)
EVACUATION_REFUSED = Event(
    7029,
    "evacuation_refused",
    Level.WARNING,
    "evacuation refused: {detail}",
    "An operator's order is malformed or names no known failure domain.",
    "Compare the name with the failure domains in the settings.",
)
LOG_ROLE = Event(
    7023,
    "log_role",
    Level.INFO,
    "replica is {role} in term {term}, leader {leader}, {voters} voters",
    "The role of this process in the replicated log changed.",
)
LOG_STORE_LOST = Event(
    7024,
    "log_store_lost",
    Level.ERROR,
    "data folder failed: {detail}",
    "The replica is stopped until the folder works again, which is tried regularly.",
    "Free space on the disk, or replace it.",
)
LOG_STORE_BACK = Event(
    7025,
    "log_store_back",
    Level.INFO,
    "data folder in use, identity {identity}",
    "The replica takes part in the log.",
)
LOG_MEMBERS = Event(
    7026,
    "log_members",
    Level.INFO,
    "members at index {index}: voters {voters}, learners {learners}",
    "The voters or the learners of the replicated log changed, as this replica knows.",
)
POOL_ENDPOINT_CHANGED = Event(
    7030,
    "pool_endpoint_changed",
    Level.INFO,
    "endpoint {endpoint} is {state}",
    "An endpoint was found, is held by this dispatcher, or changed its own state.",
)
POOL_ENDPOINT_LOST = Event(
    7031,
    "pool_endpoint_lost",
    Level.WARNING,
    "endpoint {endpoint} lost: {why}, contact {contact}, {attempts} attempts lost; "
    "token {fence}, clock read {reading_age_ms} ms ago, lease left {lease_left_ms} ms, "
    "also used by {users}",
    "Its tasks are started again on other endpoints. A process that ended closes its "
    "connections and refuses new ones; a partition most often leaves calls silent. The "
    "lease is the one that this dispatcher granted; another one may have renewed it.",
)
POOL_ENDPOINT_RESTS = Event(
    7032,
    "pool_endpoint_rests",
    Level.WARNING,
    "endpoint {endpoint} cools down for {rest_ms} ms: {why}",
    "It gets no tasks meanwhile, then one at a time until one succeeds.",
    "Check the endpoint if this continues.",
)
POOL_ENDPOINT_FENCED = Event(
    7033,
    "pool_endpoint_fenced",
    Level.WARNING,
    "endpoint {endpoint} refused token {fence}",
    "Another process dispatches there; this one gives up the dispatcher role.",
)
JOB_TAKEN = Event(
    7040,
    "job_taken",
    Level.INFO,
    "job {job_id} of queue {queue} taken: {tasks} tasks, manifest {manifest}",
    "An entry VM holds the job open for its caller.",
)
JOB_SETTLED = Event(
    7041,
    "job_settled",
    Level.INFO,
    "job {job_id} answered {status}: {outcome}, after {took_ms} ms",
    "The caller has its final answer.",
)
JOB_LEFT = Event(
    7042,
    "job_left",
    Level.INFO,
    "job {job_id}: caller disconnected after {took_ms} ms",
    "The caller closed its connection; the job is withdrawn.",
)
JOB_TURNED_AWAY = Event(
    7043,
    "job_turned_away",
    Level.INFO,
    "job {job_id} refused with status {status}: {why}",
    "The request was refused on arrival and started nothing.",
)
POOL_JOB_ENDED = Event(
    7050,
    "pool_job_ended",
    Level.INFO,
    "job {job_id} ended as {outcome} at age {age_ms} ms, attempts up to {attempts}",
    "The dispatcher reported the end to the entry VM that holds the job open.",
)
POOL_JOB_REJOINED = Event(
    7051,
    "pool_job_rejoined",
    Level.INFO,
    "job {job_id} is now held open by {entry}",
    "The job was submitted again by another entry VM and continues.",
)
POOL_JOB_WITHDRAWN = Event(
    7052,
    "pool_job_withdrawn",
    Level.INFO,
    "job {job_id} withdrawn",
    "Its caller left; its running attempts are stopped.",
)
POOL_ATTEMPT_LOST = Event(
    7053,
    "pool_attempt_lost",
    Level.INFO,
    "attempt {number} of task {task} on {endpoint} was lost after {age_ms} ms, "
    "{state}: {why}",
    "The task waits for another attempt.",
)
POOL_TASK_SUSPECTED = Event(
    7059,
    "pool_task_suspected",
    Level.WARNING,
    "endpoint {endpoint} crashed under attempt {number} of task {task}, early {early}, "
    "certain {certain}: crash {crashes} under this task",
    "The task is started apart from others. After two crashes early in its run, or "
    "three in all, its job fails. An endpoint that closes and refuses connections may "
    "be cut off: its crash is certain once it is replaced, and only then counts "
    "against a stored job.",
)
POOL_TASKS_PLACED = Event(
    7054,
    "pool_tasks_placed",
    Level.INFO,
    "job {job_id} at age {age_ms} ms, slack {slack_ms} ms: started on {endpoints}; "
    "{left} tasks wait; shard {shard}, token {fence}, attempts {starts}",
    "Tasks were started on these endpoints, one name per task. The attempts are in the "
    "same order: occurrence, step and index of the task, then the attempt's number.",
)
POOL_ATTEMPT_STOPPED = Event(
    7061,
    "pool_attempt_stopped",
    Level.INFO,
    "attempt {number} of task {task} on {endpoint} is stopped under token {fence}: "
    "{reason}",
    "A decision of the dispatcher; stops because a job ended are not written. "
    "`unclaimed` and `task is placed elsewhere` concern attempts that this process did "
    "not start under this token.",
)
POOL_ATTEMPT_CLAIMED = Event(
    7062,
    "pool_attempt_claimed",
    Level.INFO,
    "attempt {number} of task {task} on {endpoint} claimed under token {fence}; "
    "attempt base {attempt_base}, former dispatchers {former}",
    "The attempt was started under another token and goes on for this dispatcher.",
)
POOL_JOB_TAKEN_OVER = Event(
    7063,
    "pool_job_taken_over",
    Level.INFO,
    "job {job_id} of {entry} taken over under token {fence}: attempt base "
    "{attempt_base}, former dispatchers {former}, {runs} attempts listed, waits "
    "up to {wait_ms} ms",
    "The job may have run before. Without sight of all endpoints of the former "
    "dispatchers nothing of it is started while it waits.",
)
POOL_JOB_QUESTIONED = Event(
    7064,
    "pool_job_questioned",
    Level.INFO,
    "job {job_id}: {entry} asked to confirm it, token {fence}",
    "An endpoint was lost while it ran attempts of the job. They may have been claimed "
    "by another dispatcher, so nothing of the job starts before the answer.",
)
ENDPOINT_CALL_LOAD = Event(
    7057,
    "endpoint_call_load",
    Level.INFO,
    "{starts} starts, {stops} stops, {holds} holds and {probes} probes sent, "
    "{unanswered} calls unanswered, {running} attempts at work, jobs held back "
    "{held_back} times",
    "The dispatcher's calls to endpoints in the last second. Jobs are held back while "
    "too many starts wait for an answer: the processor is full.",
    "If jobs are held back for long, give the core VMs faster processors.",
)
DECISION_FAILED = Event(
    7058,
    "decision_failed",
    Level.ERROR,
    "{step} of {subject} failed: {error}",
    "An unexpected error came up in a call to an endpoint or while tasks were placed. "
    "The process goes on: the call counts as unanswered, and the step is tried again.",
    "Report it with the surrounding log lines.",
)
QUEUE_LOAD = Event(
    7056,
    "queue_load",
    Level.INFO,
    "queue {queue}: {waiting} jobs wait, the oldest for {oldest_ms} ms; {arrived} "
    "arrived, {started} started at up to {max_start_age_ms} ms; ended: {in_time} in "
    "time, {late} late, {failed} failed, {refused} refused, {withdrawn} withdrawn",
    "The dispatcher's jobs of one queue in the last second.",
)
ROOM_SHARED = Event(
    7082,
    "room_shared",
    Level.INFO,
    "service {service} is short of room: queue {queue}, callers in {domain}, entitled "
    "to {part_percent}%: {arrived} arrived, {started} started, {refused} refused",
    "More was asked for than fits. One line a second for each busy class, at most 20.",
    "Compare the classes: one that asks for far more than its part loses alone.",
)
PROCESSOR_FULL = Event(
    7090,
    "processor_full",
    Level.WARNING,
    "{refused} jobs refused as the processor cannot start their tasks: it finishes "
    "{starts_per_s} starts a second, measured {age_ms} ms ago; {late_ms} ms late, "
    "{open_starts} of {window} starts open, {waiting} jobs wait",
    "What the processor cannot start is refused at once, with the time after "
    "which its backlog is done. At most one event a second.",
    "Give core VMs more processor, or share the work among more of them.",
)
BODY_MALFORMED = Event(
    7060,
    "body_malformed",
    Level.WARNING,
    "{place} could not be read: {detail}",
    "A body or an endpoint's list was ignored or refused and changed nothing.",
    "Check its sender.",
)
ADVICE_TAKEN = Event(
    7055,
    "advice_taken",
    Level.INFO,
    "step {step}: asked about {asked} endpoints, {allowed} may run it",
    "Only these get tasks of the step; -1 means that no answer came.",
)
STORED_OFFICE = Event(
    7070,
    "stored_office",
    Level.INFO,
    "placing {jobs} stored jobs under token {fence}, dispatcher number {term}",
    "The log has this dispatcher's token and accepts no ends from earlier ones.",
)
STORED_LEFT = Event(
    7071,
    "stored_left",
    Level.WARNING,
    "stopped placing stored jobs: {why}; {jobs} jobs are stopped here",
    "Another dispatcher places them, or will once the log can be reached.",
    "Check the `log_role` events of the control VMs.",
)
STORED_CHANGED = Event(
    7072,
    "stored_changed",
    Level.INFO,
    "stored job {job_id} is {state}, {left} tasks left",
    "The log's leader committed a change of a job.",
)
STORED_ANSWERED = Event(
    7073,
    "stored_answered",
    Level.INFO,
    "{question} of job {job_id} in queue {queue}: {verdict} after {took_ms} ms, "
    "log leader {leader}",
    "A caller's request about a stored job was answered.",
)
ROOM_HELD = Event(
    7076,
    "room_held",
    Level.INFO,
    "service {service}: room was held for {made} more tasks, {used} used it, {missed} "
    "times it was not free when expected, {held_back} times it was refused to others",
    "Room that the dispatcher held for the last tasks of jobs in the last second.",
)
ENDPOINTS_RECALLED = Event(
    7095,
    "endpoints_recalled",
    Level.INFO,
    "{endpoints} endpoints and {shards} shards known before the restart, "
    "{age_ms} ms ago; used: {used}",
    "A process with a data folder has read which endpoints it knew last.",
)


NOT_EMITTED_YET: frozenset[Event] = frozenset(
    {
        FAULT,
        LINK_REFUSED_MAC,
        LINK_QUEUE_FULL,
        PEER_RESTARTED,
        REQUEST_MALFORMED,
        REQUEST_UNAUTHENTICATED,
        CONNECTIONS_FULL,
        MEMORY_REFUSAL,
        CALLER_SLOW,
        BUNDLE_REFUSED,
        REPLICA_WIPED,
        STORE_REPAIRED,
        LIMIT_LEASE_LOST,
        OWNER_LOST,
        WITNESS_LOST,
    }
)


def get_events() -> tuple[Event, ...]:
    """Return all events by number."""
    events = (value for value in globals().values() if isinstance(value, Event))
    return tuple(sorted(events, key=lambda event: event.number))
