#include "daemon/backend_messages.h"

#include "base/json_fields.h"

namespace mimosa {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
constexpr int64_t MaxShard = 1 << 24;
constexpr int64_t MaxSlots = 1000000;

/// A reply as the owner sends it to the root, in MessagePack.
struct PackedHit {
  ShardId Shard;
  std::string Id;
  double Score = 0;
  MSGPACK_DEFINE(Shard, Id, Score);
};
struct PackedReply {
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
  std::vector<PackedHit> Hits;
  MSGPACK_DEFINE(Snapshot, Shards, Hits);
};

ReportedState parseState(const std::string &Name) {
  if (Name == "cold")
    return ReportedState::Cold;
  return Name == "draining" ? ReportedState::Draining : ReportedState::Serving;
}

RefusalReason parseReason(const std::string &Name) {
  if (Name == "draining")
    return RefusalReason::Draining;
  if (Name == "cold")
    return RefusalReason::Cold;
  if (Name == "unknown_snapshot")
    return RefusalReason::UnknownSnapshot;
  return RefusalReason::Shed;
}

std::vector<ShardId> parseShards(const Json &List) {
  std::vector<ShardId> Out;
  Out.reserve(List.size());
  for (const Json &Shard : List)
    if (Shard.is_number_unsigned() && Shard.get<uint64_t>() <= MaxShard)
      Out.emplace_back(Shard.get<uint32_t>());
  return Out;
}

PackedReply parseReply(JsonFields &Fields) {
  PackedReply Out;
  Out.Snapshot = SnapshotId(Fields.text("snapshot"));
  Out.Shards = parseShards(Fields.array("shards"));
  const Json &Hits = Fields.array("hits");
  Out.Hits.reserve(Hits.size());
  for (const Json &Entry : Hits) {
    JsonFields HitFields(Entry, "hit");
    PackedHit Hit;
    Hit.Shard =
        ShardId(static_cast<uint32_t>(HitFields.number("shard", 0, MaxShard)));
    Hit.Id = HitFields.text("id");
    auto Score = Entry.is_object() ? Entry.find("score") : Entry.end();
    if (Score == Entry.end() || !Score->is_number())
      HitFields.fail(ResultCode::BadField, "hit.score must be a number");
    else
      Hit.Score = Score->get<double>();
    if (HitFields.failed()) {
      Fields.fail(HitFields.error().Code, HitFields.error().Message);
      break;
    }
    Out.Hits.push_back(std::move(Hit));
  }
  return Out;
}

} // namespace

std::string searchBody(const SendSearch &Action, const std::string &RequestId) {
  const SubRequest &Request = Action.Request;
  std::string Out = "{\"request_id\":\"" + RequestId +
                    "\",\"snapshot\":" + Json(Request.Snapshot.text()).dump() +
                    ",\"shards\":[";
  for (size_t I = 0; I < Request.Shards.size(); ++I) {
    if (I > 0)
      Out.push_back(',');
    Out += std::to_string(Request.Shards[I].number());
  }
  Out += "],\"query\":" + *Request.Query +
         ",\"deadline_ms\":" + std::to_string(inMilliseconds(Action.RunLimit));
  Out += Request.Class == SubRequestClass::Batch ? ",\"class\":\"batch\""
                                                 : ",\"class\":\"interactive\"";
  Out += Request.Idempotent ? "}" : ",\"idempotent\":false}";
  return Out;
}

SearchReply parseSearchReply(int Status, const std::string &Body) {
  SearchReply Out;
  Out.Type = SearchReply::Kind::Malformed;
  Result<Json> Parsed = parseJson(Body);
  if (!ok(Parsed))
    return Out;
  JsonFields Fields(valueOf(Parsed), "reply");
  Out.BackendIncarnation = Incarnation(
      static_cast<uint64_t>(Fields.numberOr("incarnation", 0, INT64_MAX, 0)));
  Out.State = parseState(Fields.textOr("state", "serving"));
  Out.Capacity =
      static_cast<uint32_t>(Fields.numberOr("bears", 0, MaxSlots, 0));
  if (Status == HttpOk) {
    PackedReply Reply = parseReply(Fields);
    if (Fields.failed())
      return Out;
    Out.Body = packBody(Reply);
    Out.Type = SearchReply::Kind::Answered;
    return Out;
  }
  bool NotRun = Fields.textOr("execution", "") == "not_run";
  if (Status != HttpUnavailable || !NotRun || Fields.failed())
    return Out;
  Out.Type = SearchReply::Kind::Refused;
  Out.Reason = parseReason(Fields.textOr("reason", "shed"));
  return Out;
}

Result<StatusReport> parseStatusReport(const std::string &Body) {
  Result<Json> Parsed = parseJson(Body);
  if (!ok(Parsed))
    return Error{ResultCode::BadBackendReply, errorOf(Parsed).Message};
  JsonFields Fields(valueOf(Parsed), "status");
  StatusReport Out;
  Out.BackendIncarnation = Incarnation(
      static_cast<uint64_t>(Fields.number("incarnation", 0, INT64_MAX)));
  Out.State = parseState(Fields.textOr("state", "serving"));
  Out.Capacity =
      static_cast<uint32_t>(Fields.numberOr("bears", 0, MaxSlots, 0));
  Out.Slots = static_cast<uint32_t>(Fields.numberOr("slots", 0, MaxSlots, 0));
  Out.Connections =
      static_cast<uint32_t>(Fields.numberOr("connections", 0, MaxSlots, 0));
  for (const Json &Entry : Fields.array("snapshots")) {
    JsonFields SnapshotFields(Entry, "status.snapshots[]");
    ReportedSnapshot Snapshot;
    Snapshot.Snapshot = SnapshotId(SnapshotFields.text("snapshot"));
    Snapshot.TotalShards = static_cast<uint32_t>(
        SnapshotFields.number("total_shards", 1, MaxShard));
    Snapshot.Shards = parseShards(SnapshotFields.array("shards"));
    if (SnapshotFields.failed())
      Fields.fail(SnapshotFields.error().Code, SnapshotFields.error().Message);
    Out.Snapshots.push_back(std::move(Snapshot));
  }
  if (Fields.failed())
    return Error{ResultCode::BadBackendReply, Fields.error().Message};
  return Out;
}

Result<SubRequestReply> unpackSubRequestReply(const std::string &Body) {
  Result<PackedReply> Unpacked = unpackBody<PackedReply>(Body);
  if (!ok(Unpacked))
    return errorOf(Unpacked);
  PackedReply &Packed = valueOf(Unpacked);
  SubRequestReply Out;
  Out.Snapshot = std::move(Packed.Snapshot);
  Out.Shards = std::move(Packed.Shards);
  Out.Hits.reserve(Packed.Hits.size());
  for (PackedHit &Hit : Packed.Hits)
    Out.Hits.push_back({Hit.Shard, std::move(Hit.Id), Hit.Score});
  return Out;
}

} // namespace mimosa
