// Messages between the hosts of the system. Field numbers are never reused.

// One frame on a connection: a message, or a control frame if it has no kind.
struct Frame {
  1: i64 call_id
  2: byte operation
  3: string kind
  4: binary body
}

// A request ended without a complete response.
struct Failure {
  1: string outcome
  2: string reason
  3: string detail
  4: double retry_after_s
}

// Asks the home of a runner to admit a request and return the response.
struct Forward {
  1: string request_id
  2: i32 attempt
  3: string runner_id
  4: string service_name
  5: string workspace
  6: string work_class
  7: double deadline_s
  8: bool idempotent
  9: string path
  10: string content_type
  11: binary body
  12: i32 from_token
  13: string fingerprint
  14: bool alone
  15: bool standby
  16: bool accepts_silence
}

// The runner of a request is silent; it keeps the request.
struct RunnerSilent {
  1: i32 attempt
}

// A token of an engine's response.
struct Token {
  1: i32 attempt
  2: i32 position
  3: string text
}

// The end of an engine's response.
struct StreamEnd {
  1: i32 attempt
  2: i32 n_tokens
}

// The complete response of a plain service.
struct PlainAnswer {
  1: i32 attempt
  2: i32 status
  3: string content_type
  4: binary body
}

// Load of a runner as its home knows it, sent along with each response.
struct RunnerLoad {
  1: string runner_id
  2: i32 capacity
  3: i32 n_online
  4: i32 n_batch
}

// Asks a host for its status.
struct StatusQuery {
}

// The verdict on requests that may crash runners.
struct VerdictNews {
  1: string verdict
  2: list<string> fingerprints
  3: double age_s
  4: list<i64> positions
}

// State of a host and the revisions that are active on it.
struct HostStatus {
  1: string host_id
  2: i64 configuration_revision
  3: i64 plan_revision
  4: string state
}

// Asks a host for the states of its runners and the load of services; the states are
// left out if the digest of the report equals known_digest.
struct PlacementQuery {
  1: i64 known_digest
}

// Ends the list of runner states in a report; holds their digest.
struct ReportDigest {
  1: i64 digest
}

// State of an engine with respect to its placement order, as read back by its home.
struct RunnerStatus {
  1: string runner_id
  2: string state
  3: string loaded
  4: i64 fence
  5: bool checks_fence
  6: i32 in_flight
  7: string reason
}

// Number of online requests of a service that are in flight at the host.
struct ServiceLoad {
  1: string service_name
  2: i32 in_flight
}

// Tells a host to stop its work on a cancelled job.
struct StopJob {
  1: string job_id
}

// The host has stopped its work on the job and will start no more.
struct JobStopped {
  1: string job_id
}

// A document of the control plane and the revision of it that a host holds.
struct DocumentRevision {
  1: string kind
  2: string name
  3: i64 revision
}

// Gossip about one host; addresses are empty if the receiver knows them.
struct MemberUpdate {
  1: string host_id
  2: i64 incarnation
  3: string state
  4: string health
  5: i64 configuration_revision
  6: i64 plan_revision
  7: string region
  8: string data_centre
  9: string caller
  10: string peer
  11: string probe
}

// One datagram of the membership protocol.
struct Datagram {
  1: string kind
  2: i64 sequence
  3: string target
  4: list<DocumentRevision> documents
  5: list<MemberUpdate> updates
}

// Asks a host for its complete member list.
struct MembersQuery {
}

// The complete member list of a host, its own entry first.
struct MemberList {
  1: list<MemberUpdate> updates
}

// Asks a host for a revision of a document newer than base_revision.
struct DocumentQuery {
  1: string kind
  2: string name
  3: i64 base_revision
}

// A document as a delta to base_revision; revision 0: nothing newer is held.
struct DocumentText {
  1: string kind
  2: string name
  3: i64 revision
  4: i64 base_revision
  5: i32 n_prefix
  6: i32 n_suffix
  7: binary middle
}

// Asks a host for the active revisions in its data centre.
struct DataCentreQuery {
}

// The active revisions on the hosts of a data centre.
struct DataCentreStatus {
  1: string data_centre
  2: list<HostStatus> hosts
}

// A rate limit that a runner named some time ago.
struct RunnerLimit {
  1: string runner_id
  2: double limit_per_s
  3: double age_s
}

// A runner said some time ago that its process leaves.
struct LeavingNotice {
  1: string runner_id
  2: i64 last_born_ms
  3: double age_s
}

// Asks the home of a service for a slot on one of its runners; times are in seconds
// from now. The slot is held until the call ends.
struct SlotAsk {
  1: string request_id
  2: string service_name
  3: string work_class
  4: list<string> parts
  5: list<string> avoid
  6: double start_within_s
  7: double due_in_s
  8: string held_runner
  9: double goal_in_s
  10: bool is_repeated
  11: string fingerprint
  12: list<RunnerLimit> limits
  13: string software_version
  14: list<LeavingNotice> leaving
  15: string workspace
  16: string data_centre
  17: bool is_only_attempt
}

// The slot is granted: the request may be sent to the runner.
struct SlotGranted {
  1: string runner_id
  2: list<string> watched
  3: bool is_limited
}

// The request is queued for a slot.
struct SlotQueued {
}

// The slot is revoked and has to be released.
struct SlotRevoked {
}

// Reports how a runner responded; the home ejects failing ones for a time.
struct RunnerSeen {
  1: string service_name
  2: string runner_id
  3: bool is_well
}

// The traits of one request.
struct RequestTraits {
  1: list<string> traits
}

// A runner crashed; the accused requests had no answer yet.
struct CrashReport {
  1: string service_name
  2: string runner_id
  3: list<RequestTraits> accused
  4: list<string> answered
  5: double age_s
}

// A runner answered a request with these traits.
struct TraitsAnswered {
  1: string service_name
  2: list<string> traits
  3: double age_s
}

// The runner process that wrote the first event of a stream some time ago.
struct StreamOrigin {
  1: string request_id
  2: string service_name
  3: string software_version
  4: string runner_id
  5: i64 born_ms
  6: double age_s
  7: bool is_proved
}

// Streams that have begun lately; the receiver remembers them.
struct StreamOrigins {
  1: list<StreamOrigin> origins
}

// Asks a host whether it knows the origin of a stream.
struct OriginAsk {
  1: string request_id
}

// The origin of the stream that was asked for; empty if it is not known.
struct OriginFound {
  1: list<StreamOrigin> origins
}

// Acknowledges a report.
struct Noted {
}

// Asks a host to forward a call to the platform's store, which the sender can't reach.
struct StoreCall {
  1: string method
  2: string target
  3: binary body
  4: double stall_s
}

// The response of the platform's store.
struct StoreAnswer {
  1: i32 status
  2: binary body
}

// The revision of the store up to which a host knows the objects of a kind.
struct KindSeen {
  1: string kind
  2: i64 revision
}

// Asks a host to forward the store's change feed until the call ends.
struct NewsAsk {
  1: list<KindSeen> seen
}

// Changed objects of a kind, or all of them, as a JSON list.
struct KindNews {
  1: string kind
  2: i64 revision
  3: bool is_whole
  4: double failed_ago_s
  5: binary entries
}

// Nothing has changed and the store has responded recently.
struct NoNews {
}

// Asks the host that runs a job for its results from position after on.
struct ResultsAsk {
  1: string job_id
  2: i64 after
  3: double wait_s
}

// Results stored for a job, as a JSON list.
struct ResultsHeard {
  1: binary entries
}

// Asks a host to connect to a runner and to turn the connection into a tunnel to it.
struct OpenTunnel {
  1: string ip
  2: i32 port
}

// What came of the attempt to connect to the runner.
struct TunnelReply {
  1: string reach
}

// Asks whether a request of a workspace may be sent to a runner; the receiver counts in
// place of the unsettled hosts.
struct PermitAsk {
  1: string workspace
  2: list<string> unsettled
  3: i32 n_hops
  4: i32 n_uncounted
}

// Whether the request may be sent; reason is empty then.
struct PermitReply {
  1: string reason
  2: double retry_after_s
}
