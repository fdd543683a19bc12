// Messages between daemons. Fields are only ever added, with new numbers.
namespace py comfreystair.peers

struct Call {
    1: i64 number,
    2: string method,
    3: binary body,
    4: binary mac
}

struct Reply {
    1: i64 number,
    2: string error,
    3: binary body
}

// The name of the instance is the first part of its incarnation.
struct Contact {
    2: string zone,
    3: string address,
    4: string incarnation,
    5: bool is_leaving,
    6: i32 age_ms,
    7: i64 epoch
}

struct ManifestState {
    1: i64 generation,
    4: i32 confirmed_age_ms,
    5: i32 ident_hash
}

struct Root {
    1: i64 generation,
    2: list<string> chunks,
    3: string shipped_by,
    4: string ident,
    5: list<string> history
}

struct View {
    1: string database,
    2: bool is_reached
}

struct Gossip {
    1: Contact sender,
    2: list<Contact> members,
    3: ManifestState manifest,
    4: i64 epoch,
    5: bool is_settled,
    7: list<string> dead,
    8: list<View> views,
    9: map<string, double> surplus
}

struct ChunkRequest {
    1: string name
}

struct Chunk {
    1: binary content
}

struct Empty {
}

struct Epoch {
    1: i64 number,
    2: map<string, i64> units,
    3: map<string, i64> previous,
    4: bool is_settled
}

struct LoanRequest {
    1: string organisation,
    2: double wanted
}

struct Loan {
    1: double tokens
}

struct DemandRequest {
    1: string instance,
    2: string database,
    3: string target,
    4: map<string, double> demand
}

struct Limits {
    1: map<string, double> limits
}

struct CancelRequest {
    1: i32 process_id,
    2: binary secret_key
}

struct Inquiry {
    1: string subject
}

struct Document {
    1: binary content
}

// With a target, the tokens are for requests to it while it is cold, and the
// organisation is empty.
struct GrantRequest {
    1: string organisation,
    2: double wanted,
    3: string keeper,
    4: string target
}

struct Grant {
    1: double tokens,
    2: double retry_seconds,
    3: bool is_keeper
}

// Eras are those of the store, and belong to the revision beside them.

// A group's record as it stands in the store.
struct GroupNotice {
    1: string group,
    2: string primary,
    3: i64 term,
    4: bool is_changing,
    5: i64 revision,
    6: i64 era,
    7: bool is_restored
}

// What the receiver last heard of the primary, in milliseconds; -1: never.
// Followers are those that took proofs from the receiver lately. The record is
// the newest that the receiver knew before the notice.
struct GroupConfirmation {
    1: string incarnation,
    2: i64 heard_ms,
    3: list<string> followers,
    4: GroupNotice record
}

struct ProofRequest {
    1: string address
}

// Ages count from when the read that proved it was sent.
struct GroupProof {
    1: GroupNotice record,
    2: double age_seconds
}

// What is known of the evacuation of a zone; the revision is 0 where there is
// no such key.
struct EvacuationProof {
    1: string zone,
    2: i64 era,
    3: i64 revision,
    4: bool is_requested,
    5: double age_seconds
}

struct Proof {
    1: i64 plan_revision,
    2: double plan_age_seconds,
    3: list<GroupProof> groups,
    4: double store_age_seconds,
    5: i64 plan_version,
    6: i64 era,
    7: list<EvacuationProof> evacuations
}

struct GroupInquiry {
    1: string group
}

struct PlanDocument {
    1: i64 revision,
    2: binary content,
    3: i64 era
}

struct Identity {
    1: string incarnation,
    2: bool is_keeper
}

struct PreparedStatement {
    1: string shape,
    2: bool is_writing
}

struct LogPosition {
    1: i64 term,
    2: i64 offset
}

// A caller's statement for a target whose connections the receiver has. The
// kind is the name of a StatementKind; times are in seconds. Of the latency
// objective, the time left when the message is sent and the whole are given.
struct WorkRequest {
    1: string target,
    2: string handle,
    3: string organisation,
    4: string ident,
    5: string kind,
    6: string text,
    7: string argument,
    8: map<string, string> session_values,
    9: PreparedStatement prepared,
    10: LogPosition floor,
    11: i32 priority,
    12: double patience,
    13: double seconds,
    14: i32 organisation_priority,
    15: double aim_left,
    16: double aim_seconds
}

// Failure and trouble are names of a Failure and a DeliveryFailure, empty for
// none. The time to come back is set where admission control rejected the
// statement.
struct WorkOutcome {
    1: list<string> rows,
    2: string signature,
    3: string failure,
    4: string detail,
    5: LogPosition position,
    6: bool is_aborted,
    7: string trouble,
    8: bool is_sent,
    9: string reason,
    10: double retry_seconds
}

struct WorkEnd {
    1: string handle
}

struct ListsRequest {
    1: string incarnation,
    2: i64 version
}

struct ListedItem {
    1: string key,
    2: i64 revision,
    3: binary content
}

struct ListedItems {
    1: list<ListedItem> items
}

// What changed in the sender's lists since the version asked for; all of it
// where is_whole. The age counts from when the sender asked the store. What
// changed is a compressed ListedItems.
struct Lists {
    1: string incarnation,
    2: i64 version,
    3: double age_seconds,
    4: bool is_whole,
    5: binary packed,
    6: list<string> gone,
    7: i64 era
}

// The sender can't reach a group's primary. The time is that since its oldest
// request without an answer.
struct UnreachableNotice {
    1: string group,
    2: string primary,
    3: i64 unreachable_ms
}

// Revisions of the records that the sender knows, by group.
struct ContactRequest {
    1: map<string, i64> revisions,
    2: map<string, i64> eras
}

// The groups whose records the receiver confirms.
struct ContactReply {
    1: list<string> groups
}
