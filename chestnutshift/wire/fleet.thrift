// Messages between edge VMs, one in each datagram. Every field is optional, so
// that VMs of this and of the next release understand each other.
namespace py fleet

// The requests that an upstream accepts from all VMs together, in thousandths
// of a request per second, and the age of the answer that told so. Without
// limit_milli the upstream no longer names a limit.
struct RateLimit {
  1: optional i64 limit_milli
  2: optional i64 age_ms
}

// A request under which runs of upstreams have ended: how long ago each ended,
// by number of the run, and how long ago the request last succeeded.
struct Suspect {
  1: optional map<i64, i32> ended_ages_ms
  2: optional i64 success_age_ms
}

// The heartbeat of one VM.
struct Beat {
  1: optional string vm
  2: optional i64 incarnation
  3: optional i64 number
  // Boot clock of the sender, and the newest sent_at_us that it received from
  // the receiver.
  4: optional i64 sent_at_us
  5: optional i64 echoed_at_us
  6: optional string phase
  7: optional i64 table_version
  // Age of the proof by the store that this version is the newest; absent
  // before the first proof.
  8: optional i64 proof_age_us
  // Demand of each account in thousandths of a request per second.
  9: optional map<string, i32> demand_milli
  // Requests in flight at each upstream, by the hash of its id.
  10: optional map<i32, i32> in_flight
  // The store's version of the newest change of each kind that the sender
  // knows.
  11: optional i64 operators_changed_at
  12: optional i64 upstreams_changed_at
  // How late the sender's timers fire, as a moving average.
  13: optional i64 delay_us
  // The eras in which the store gave out these versions: it gives them out
  // again when it returns from an older copy.
  14: optional i64 operators_era
  15: optional i64 upstreams_era
  // How long upstreams stay cold, by the hash of their ids.
  16: optional map<i32, i32> cold_for_ms
  // The limits that upstreams named, by the hash of their ids.
  17: optional map<i32, RateLimit> rate_limits
  // Requests under which upstreams have ended, by fingerprint.
  18: optional map<i64, Suspect> suspects
  // Upstreams that said in an answer that they leave, by the hash of the run.
  19: optional set<i32> leaving
  // Services of which the sender reaches no upstream, by the hash of the name.
  20: optional set<i32> unreached
  // How long ago an upstream last answered the sender.
  21: optional i64 answered_age_ms
  // Listed VMs whose heartbeats don't reach the sender, by the hash of the
  // name; not all of them if there are very many. Absent in earlier releases.
  22: optional set<i32> silent
}

// Asks the VM that decides on an account whether a request is within its
// limit. The asking VM chooses number; the answer repeats it.
struct LimitQuestion {
  1: optional i64 number
  2: optional string account
  // Whether an earlier question was about the same request.
  3: optional bool is_repeat
}

// The answer to a LimitQuestion; wait_us is absent if the request is within
// the limit.
struct LimitAnswer {
  1: optional i64 number
  2: optional i64 wait_us
}

// A datagram has exactly one field set.
struct Datagram {
  1: optional Beat beat
  2: optional LimitQuestion question
  3: optional LimitAnswer answer
}
