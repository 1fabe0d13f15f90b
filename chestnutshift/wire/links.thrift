// Messages on links between entry VMs. Every field is optional on the wire, so
// that VMs of this and of the next release understand each other.
namespace py links

struct Challenge {
  1: optional string nonce
}

struct Hello {
  1: optional string vm
  2: optional string incarnation
  3: optional string nonce
  4: optional string proof
}

struct Welcome {
  1: optional string vm
  2: optional string incarnation
  3: optional string proof
}

struct ServiceLoad {
  1: optional string service_
  2: optional i32 slots
  3: optional i32 in_use
  4: optional double wait_s
}

struct Heartbeat {
  1: optional string state
  2: optional i64 configuration_number
  3: optional bool platform_reachable
  4: optional double knowledge_age_s
  5: optional double headroom
  6: optional i64 withdrawals_fingerprint
  7: optional list<ServiceLoad> loads
  8: optional bool knowledge_complete
  9: optional list<string> lost
  10: optional list<string> settled
  11: optional i64 seat_renewals
}

struct ConfigurationRequest {
  1: optional i64 newer_than
}

struct ConfigurationDocument {
  1: optional i64 number
  2: optional binary document
}

struct Withdrawals {
  1: optional set<string> digests
}

struct RateRequest {
  1: optional string peer
  2: optional string giver
  3: optional string taker
  4: optional string account
  5: optional i64 ask
  6: optional i64 loan
  7: optional double rate
  8: optional double burst
  9: optional double tokens
}

struct RateGrant {
  1: optional string giver
  2: optional string taker
  3: optional string account
  4: optional i64 ask
  5: optional i64 loan
  6: optional double rate
  7: optional double burst
  8: optional double tokens
  9: optional double life_s
}

struct RateRequests {
  1: optional list<RateRequest> requests
}

struct RateGrants {
  1: optional list<RateGrant> grants
}

struct SlotRequest {
  1: optional string borrower
  2: optional i64 number
  3: optional string service_
  4: optional i32 wanted
}

struct LentSlot {
  1: optional i64 number
  2: optional string upstream
}

struct SlotGrant {
  1: optional string lender
  2: optional i64 incarnation
  3: optional i64 request
  4: optional list<LentSlot> slots
}

struct SlotReturn {
  1: optional string borrower
  2: optional i64 incarnation
  3: optional list<i64> numbers
}

struct HoldingsRequest {
  1: optional string lender
  2: optional i64 incarnation
}

struct Holdings {
  1: optional string borrower
  2: optional i32 position
  3: optional i64 incarnation
  4: optional list<string> upstreams
}

struct Nothing {
}

struct EventQuery {
  1: optional string request
  2: optional string account
  3: optional string upstream
  4: optional i32 number
  5: optional i64 since
  6: optional i32 limit
}

struct EventBatch {
  1: optional list<string> events
}

struct StatusQuery {
}

struct StatusReport {
  1: optional string document
}

struct Refusal {
  1: optional string code
  2: optional string detail
}

union Body {
  1: Challenge challenge
  2: Hello hello
  3: Welcome welcome
  4: Heartbeat heartbeat
  5: ConfigurationRequest configuration_request
  6: ConfigurationDocument configuration_document
  7: Withdrawals withdrawals
  8: RateRequests rate_requests
  9: RateGrants rate_grants
  10: SlotRequest slot_request
  11: SlotGrant slot_grant
  12: EventQuery event_query
  13: EventBatch event_batch
  14: StatusQuery status_query
  15: StatusReport status_report
  16: Refusal refusal
  17: SlotReturn slot_return
  18: HoldingsRequest holdings_request
  19: Holdings holdings
  20: Nothing nothing
}

struct Frame {
  1: optional i64 sequence
  2: optional i64 answers
  3: optional i64 clock
  4: optional Body body
}
