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
    4: i32 confirmed_age_ms
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

struct GrantRequest {
    1: string organisation,
    2: double wanted,
    3: string keeper
}

struct Grant {
    1: double tokens,
    2: double retry_seconds,
    3: bool is_keeper
}

// A group's record as it stands in the store.
struct GroupNotice {
    1: string group,
    2: string primary,
    3: i64 term,
    4: bool is_changing,
    5: i64 revision
}

// What the receiver last heard of the primary, in milliseconds; -1: never.
// Followers are those that took proofs from the receiver lately.
struct GroupConfirmation {
    1: string incarnation,
    2: i64 heard_ms,
    3: list<string> followers
}

struct ProofRequest {
    1: string address
}

// Ages count from when the read that proved it was sent.
struct GroupProof {
    1: GroupNotice record,
    2: double age_seconds
}

struct Proof {
    1: i64 plan_revision,
    2: double plan_age_seconds,
    3: list<GroupProof> groups
}

struct GroupInquiry {
    1: string group
}

struct PlanDocument {
    1: i64 revision,
    2: binary content
}

struct Identity {
    1: string incarnation,
    2: bool is_keeper
}
