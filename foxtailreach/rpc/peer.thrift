/** Messages between hosts. Struct and field names match the dataclasses
    in foxtailreach/core and foxtailreach/rpc/frames.py. */

struct Header { 1: string name, 2: string value }

struct HostEntry {
  1: string host_id, 2: string domain, 3: string address,
  4: i32 peer_port, 5: bool is_leaving, 6: i32 capacity
}

struct RequestHead {
  1: string request_id, 2: string method, 3: string path,
  4: list<Header> headers, 5: binary body, 6: i64 body_length
}

struct PoolLoad {
  1: string pool_id, 2: i32 slots, 3: i32 busy, 4: i32 queued,
  5: i64 service_us, 6: i64 age_us
}

struct Handoff {
  1: RequestHead head, 2: string pool_id, 3: string customer, 4: i32 weight,
  5: string duration, 6: bool idempotent, 7: i64 fingerprint,
  8: i64 deadline_left_us, 9: string origin, 10: i32 forwards_left,
  11: i32 retries_left, 12: list<PoolLoad> loads, 13: i64 queue_left_us
}

struct Forwarded { 1: string request_id, 2: string host_id }

struct HandoffResult {
  1: string request_id, 2: string verdict, 3: optional string reason,
  4: i64 retry_after_us, 5: list<PoolLoad> loads
}

struct CancelHandoff { 1: string request_id }

struct Ping {
  1: i64 sequence, 2: i64 incarnation, 3: i64 log_offset, 4: i64 log_age_us,
  5: string on_behalf_of, 6: i64 view_digest
}

struct Ack {
  1: i64 sequence, 2: string subject, 3: i64 incarnation, 4: i64 log_offset,
  5: i64 log_age_us, 6: i64 view_digest
}

struct PingRequest { 1: string subject }

struct HostRumor { 1: string host_id, 2: i64 incarnation, 3: string liveness }

struct CrashRumor { 1: i64 fingerprint, 2: string target, 3: string report_id }

struct TokenRequest {
  1: string customer, 2: i32 want, 3: i64 sequence, 4: i32 seat
}

struct TokenGrant {
  1: string customer, 2: i64 sequence, 3: i32 seat, 4: i32 granted,
  5: i64 valid_us, 6: i64 retry_after_us, 7: bool is_holder
}

struct TokenReturn {
  1: string customer, 2: i32 seat, 3: i64 sequence, 4: i32 count
}

struct LogRecord { 1: i64 offset, 2: binary payload }

struct LogBatch { 1: list<LogRecord> records, 2: i64 log_age_us }

struct LogPull { 1: i64 next_offset }

struct Snapshot {
  1: binary payload, 2: i64 next_offset, 3: i64 log_age_us,
  4: list<HostEntry> hosts
}

struct TargetAllowance { 1: string target, 2: i32 allowed, 3: i32 in_flight }

struct PoolHandover { 1: string pool_id, 2: list<TargetAllowance> allowances }

struct Hello { 1: string host_id, 2: i64 incarnation }

struct Answer {
  1: string request_id, 2: i32 status, 3: string phrase,
  4: list<Header> headers, 5: binary body, 6: bool is_whole
}

struct AnswerChunk { 1: string request_id, 2: binary body, 3: bool is_last }

struct AnswerCut { 1: string request_id }

struct BodyChunk { 1: string request_id, 2: binary body, 3: bool is_last }

struct Credit { 1: string request_id, 2: bool is_answer, 3: i64 size_bytes }

struct Envelope {
  1: optional Handoff handoff, 2: optional Forwarded forwarded,
  3: optional HandoffResult handoff_result,
  4: optional CancelHandoff cancel_handoff, 5: optional Ping ping,
  6: optional Ack ack, 7: optional PingRequest ping_request,
  8: optional HostRumor host_rumor, 9: optional CrashRumor crash_rumor,
  10: optional TokenRequest token_request, 11: optional TokenGrant token_grant,
  12: optional TokenReturn token_return, 13: optional LogBatch log_batch,
  14: optional LogPull log_pull, 15: optional Snapshot snapshot,
  16: optional PoolHandover pool_handover, 17: optional Hello hello,
  18: optional Answer answer, 19: optional AnswerChunk answer_chunk,
  20: optional AnswerCut answer_cut, 21: optional BodyChunk body_chunk,
  22: optional Credit credit
}
