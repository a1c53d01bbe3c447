/** Messages between hosts that broker slots. Struct and field names match
    the dataclasses in foxtailreach/core. */

struct HostEntry {
  1: string host_id, 2: string domain, 3: string address,
  4: i32 peer_port, 5: bool is_leaving, 6: i32 capacity
}

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

struct LivenessTable { 1: list<HostRumor> entries }

struct SlotRequest {
  1: i64 ask_id, 2: string service_name, 3: string kind, 4: i32 priority,
  5: i64 time_left_us, 6: i64 objective_left_us, 7: bool is_repeat,
  8: bool may_repeat, 9: i64 fingerprint, 10: list<string> connected,
  11: list<string> excluded, 12: bool is_surplus, 13: string customer,
  14: i64 request_class, 15: i64 body_bytes, 16: string scope
}

struct SlotGrant {
  1: i64 ask_id, 2: string target_id, 3: string address, 4: i32 port,
  5: i64 started_ms, 6: i64 proven_age_us, 7: i64 state_version
}

struct SlotQueued { 1: i64 ask_id, 2: i64 wait_us }

struct SlotRefused { 1: i64 ask_id, 2: string cause, 3: i64 retry_after_us }

struct SlotReferral { 1: i64 ask_id, 2: string domain, 3: bool is_final }

struct PoolStatus {
  1: string service_name, 2: i64 spare_slots, 3: list<CrashedTargets> crashes
}

struct SlotCancel { 1: i64 ask_id, 2: string service_name }

struct SlotCheck { 1: string service_name, 2: list<i64> ask_ids }

struct TurnedAway { 1: string service_name }

struct SlotReport {
  1: i64 ask_id, 2: string service_name, 3: string target_id, 4: i64 started_ms,
  5: string outcome, 6: i64 latency_us, 7: i64 fingerprint, 8: bool is_leaving,
  9: i64 pause_us, 10: i64 request_class, 11: i64 body_bytes,
  12: i64 answer_bytes
}

struct ChargeRequest {
  1: i64 ask_id, 2: string customer, 3: bool is_retry
}

struct ChargeCancel { 1: i64 ask_id, 2: string customer }

struct ChargeResult {
  1: i64 ask_id, 2: string admission, 3: i64 retry_after_us
}

struct MeterEntry { 1: i64 key, 2: i64 age_us, 3: bool is_retry }

struct MeterCopy {
  1: string customer, 2: list<MeterEntry> entries, 3: list<i64> cancelled,
  4: i64 known_us, 5: i64 total, 6: bool is_whole
}

struct MeterRequest { 1: string customer }

struct CrashedTargets { 1: i64 fingerprint, 2: list<string> target_ids }

struct TargetEvidence {
  1: string target_id, 2: i64 served_age_us, 3: i64 failed_age_us,
  4: i64 slowness_permille
}

struct ClassCost {
  1: i64 request_class, 2: i64 mean_us, 3: i64 deviation_us,
  4: i64 tail_permille, 5: i64 answer_bytes, 6: i64 samples
}

struct EvidenceDigest {
  1: string service_name, 2: list<TargetEvidence> entries,
  3: list<ClassCost> costs, 4: list<CrashedTargets> crashes
}

struct HostAnnounced { 1: HostEntry entry, 2: i64 incarnation }

struct HostUnknown { 1: string host_id }

struct TopicVersion {
  1: string topic, 2: i64 changed_offset, 3: i64 next_offset, 4: i64 digest,
  5: i64 era
}

struct StateNotice {
  1: list<TopicVersion> versions, 2: i64 age_us, 3: bool is_reading,
  4: list<string> cut_off, 5: i64 log_offset, 6: i64 confirmed_age_us
}

struct StatePull { 1: list<TopicVersion> versions }

struct KeyedRecord { 1: string key, 2: binary payload, 3: i64 offset }

struct TopicCopy {
  1: string topic, 2: i64 changed_offset, 3: i64 next_offset,
  4: list<KeyedRecord> records, 5: i64 base_offset,
  6: list<string> removed, 7: i64 digest, 8: i64 era
}

struct StateCopy {
  1: list<TopicCopy> topics, 2: list<string> retained, 3: i64 retained_for_us,
  4: i64 confirmed_age_us
}

struct PlacementQuery { 1: i64 ask_id, 2: string domain, 3: SlotRequest request }

struct Candidate {
  1: string target_id, 2: string domain, 3: i32 status, 4: i32 flags,
  5: i64 served_age_ms, 6: i64 failed_age_ms, 7: i32 slots, 8: i32 granted,
  9: i64 remaining_ms, 10: i64 finish_ms, 11: i64 cost_ms,
  12: i64 pause_left_ms
}

struct RestCounts {
  1: i32 proven, 2: i32 unproven, 3: i32 ejected, 4: i32 unusable
}

struct PlacementReport {
  1: i64 ask_id, 2: string service_name, 3: string decision,
  4: string target_id, 5: string rule, 6: string domain, 7: bool is_final,
  8: string cause, 9: i64 retry_after_us, 10: i64 wait_us, 11: i64 work_us,
  12: i64 queued, 13: i64 queued_work_us, 14: i64 room,
  15: list<Candidate> candidates, 16: RestCounts rest,
  17: i64 config_version, 18: i64 config_age_us, 19: i64 targets_version,
  20: i64 state_age_us
}

struct FleetEnvelope {
  1: optional Ping ping, 2: optional Ack ack,
  3: optional PingRequest ping_request, 4: optional HostRumor host_rumor,
  5: optional SlotRequest slot_request, 6: optional SlotGrant slot_grant,
  7: optional SlotQueued slot_queued, 8: optional SlotRefused slot_refused,
  9: optional SlotCancel slot_cancel, 10: optional SlotReport slot_report,
  11: optional ChargeRequest charge_request,
  12: optional ChargeResult charge_result,
  13: optional EvidenceDigest evidence_digest,
  14: optional HostAnnounced host_announced,
  15: optional StateNotice state_notice, 16: optional StatePull state_pull,
  17: optional StateCopy state_copy, 18: optional TurnedAway turned_away,
  20: optional ChargeCancel charge_cancel,
  21: optional MeterCopy meter_copy, 22: optional HostUnknown host_unknown,
  23: optional SlotCheck slot_check,
  24: optional LivenessTable liveness_table,
  25: optional MeterRequest meter_request,
  26: optional SlotReferral slot_referral,
  27: optional PoolStatus pool_status,
  28: optional PlacementQuery placement_query,
  29: optional PlacementReport placement_report
}
