// Messages between VMs. Every field is optional on the wire, so that a VM of
// the next release can talk to one of this release.
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

struct Heartbeat {
  1: optional string state
  2: optional i64 configuration_number
  3: optional bool platform_reachable
  4: optional double knowledge_age_s
  5: optional double headroom
  6: optional i32 withdrawal_count
  7: optional map<string, double> room
  8: optional map<string, i32> free_slots
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

struct RateLoanRequest {
  1: optional string account
  2: optional double tokens
  3: optional double rate
  4: optional double duration_s
  5: optional binary payload
}

struct RateLoanGrant {
  1: optional i64 sequence
  2: optional binary payload
}

struct SlotLoanRequest {
  1: optional binary payload
}

struct SlotLoanGrant {
  1: optional binary payload
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
  8: RateLoanRequest rate_loan_request
  9: RateLoanGrant rate_loan_grant
  10: SlotLoanRequest slot_loan_request
  11: SlotLoanGrant slot_loan_grant
  12: EventQuery event_query
  13: EventBatch event_batch
  14: StatusQuery status_query
  15: StatusReport status_report
  16: Refusal refusal
}

struct Frame {
  1: optional i64 sequence
  2: optional i64 answers
  3: optional i64 clock
  4: optional Body body
}
