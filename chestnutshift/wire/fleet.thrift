// What edge VMs tell each other, one datagram at a time. Every field is
// optional, so that a VM of the next release can talk to one of this release.
namespace py fleet

struct Beat {
  1: optional string vm
  2: optional i64 incarnation
  3: optional i64 number
  // Boot clock of the sender, and the newest of the receiver that it heard.
  4: optional i64 sent_at_us
  5: optional i64 echoed_at_us
  6: optional string phase
  7: optional i64 table_version
  // How long ago the store vouched for that version; absent for never.
  8: optional i64 proof_age_us
  // Requests per second that each account asks for, in thousandths.
  9: optional map<string, i32> demand_milli
  // Requests in flight at each upstream, by the hash of its id.
  10: optional map<i32, i32> in_flight
  // The store's version of the newest change that the sender knows.
  11: optional i64 operators_changed_at
  12: optional i64 upstreams_changed_at
}

// Whether a request of the account is within its limit, asked of the VM that
// decides on it; number is the asker's and comes back with the answer.
struct LimitQuestion {
  1: optional i64 number
  2: optional string account
  // Set if an earlier question was of the same request.
  3: optional bool is_repeat
}

// wait_us is absent for a request within the limit.
struct LimitAnswer {
  1: optional i64 number
  2: optional i64 wait_us
}

// One field is set.
struct Datagram {
  1: optional Beat beat
  2: optional LimitQuestion question
  3: optional LimitAnswer answer
}
