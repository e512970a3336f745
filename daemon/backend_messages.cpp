#include "daemon/backend_messages.h"

#include "base/json_fields.h"

namespace mimosa {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
constexpr int64_t MaxShard = 1 << 24;
constexpr int64_t MaxSlots = 1000000;

/// Hits as they travel from the owner to the root.
struct PackedHit {
  ShardId Shard;
  std::string Id;
  double Score = 0;
  MSGPACK_DEFINE(Shard, Id, Score);
};
struct PackedAnswer {
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
  std::vector<PackedHit> Hits;
  MSGPACK_DEFINE(Snapshot, Shards, Hits);
};

ReportedState stateByName(const std::string &Name) {
  if (Name == "cold")
    return ReportedState::Cold;
  return Name == "draining" ? ReportedState::Draining : ReportedState::Serving;
}

RefusalReason reasonByName(const std::string &Name) {
  if (Name == "draining")
    return RefusalReason::Draining;
  if (Name == "cold")
    return RefusalReason::Cold;
  if (Name == "unknown_snapshot")
    return RefusalReason::UnknownSnapshot;
  return RefusalReason::Shed;
}

std::vector<ShardId> shardsIn(const Json &List) {
  std::vector<ShardId> Out;
  Out.reserve(List.size());
  for (const Json &Shard : List)
    if (Shard.is_number_unsigned() && Shard.get<uint64_t>() <= MaxShard)
      Out.emplace_back(Shard.get<uint32_t>());
  return Out;
}

PackedAnswer readAnswer(JsonFields &Fields) {
  PackedAnswer Out;
  Out.Snapshot = SnapshotId(Fields.text("snapshot"));
  Out.Shards = shardsIn(Fields.array("shards"));
  const Json &Hits = Fields.array("hits");
  Out.Hits.reserve(Hits.size());
  for (const Json &Entry : Hits) {
    JsonFields HitFields(Entry, "hit");
    PackedHit One;
    One.Shard =
        ShardId(static_cast<uint32_t>(HitFields.number("shard", 0, MaxShard)));
    One.Id = HitFields.text("id");
    auto Score = Entry.is_object() ? Entry.find("score") : Entry.end();
    if (Score == Entry.end() || !Score->is_number())
      HitFields.fail(ResultCode::BadField, "hit.score must be a number");
    else
      One.Score = Score->get<double>();
    if (HitFields.failed()) {
      Fields.fail(HitFields.error().Code, HitFields.error().Message);
      break;
    }
    Out.Hits.push_back(std::move(One));
  }
  return Out;
}

} // namespace

std::string searchBody(const SendSearch &Send, const std::string &RequestId) {
  const SubRequest &Work = Send.Request;
  std::string Out = "{\"request_id\":\"" + RequestId +
                    "\",\"snapshot\":" + Json(Work.Snapshot.text()).dump() +
                    ",\"shards\":[";
  for (size_t I = 0; I < Work.Shards.size(); ++I) {
    if (I > 0)
      Out.push_back(',');
    Out += std::to_string(Work.Shards[I].number());
  }
  Out += "],\"query\":" + *Work.Query +
         ",\"deadline_ms\":" + std::to_string(inMilliseconds(Send.RunLimit));
  Out += Work.Class == SubRequestClass::Batch ? ",\"class\":\"batch\""
                                              : ",\"class\":\"interactive\"";
  Out += Work.Idempotent ? "}" : ",\"idempotent\":false}";
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
  Out.State = stateByName(Fields.textOr("state", "serving"));
  Out.Capacity =
      static_cast<uint32_t>(Fields.numberOr("bears", 0, MaxSlots, 0));
  if (Status == HttpOk) {
    PackedAnswer Answer = readAnswer(Fields);
    if (Fields.failed())
      return Out;
    Out.Body = packBody(Answer);
    Out.Type = SearchReply::Kind::Answered;
    return Out;
  }
  bool NotRun = Fields.textOr("execution", "") == "not_run";
  if (Status != HttpUnavailable || !NotRun || Fields.failed())
    return Out;
  Out.Type = SearchReply::Kind::Refused;
  Out.Reason = reasonByName(Fields.textOr("reason", "shed"));
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
  Out.State = stateByName(Fields.textOr("state", "serving"));
  Out.Capacity =
      static_cast<uint32_t>(Fields.numberOr("bears", 0, MaxSlots, 0));
  Out.Slots = static_cast<uint32_t>(Fields.numberOr("slots", 0, MaxSlots, 0));
  Out.Connections =
      static_cast<uint32_t>(Fields.numberOr("connections", 0, MaxSlots, 0));
  for (const Json &Entry : Fields.array("snapshots")) {
    JsonFields One(Entry, "status.snapshots[]");
    ReportedSnapshot Held;
    Held.Snapshot = SnapshotId(One.text("snapshot"));
    Held.TotalShards =
        static_cast<uint32_t>(One.number("total_shards", 1, MaxShard));
    Held.Shards = shardsIn(One.array("shards"));
    if (One.failed())
      Fields.fail(One.error().Code, One.error().Message);
    Out.Snapshots.push_back(std::move(Held));
  }
  if (Fields.failed())
    return Error{ResultCode::BadBackendReply, Fields.error().Message};
  return Out;
}

Result<SubRequestReply> unpackSubAnswer(const std::string &Body) {
  Result<PackedAnswer> Read = unpackBody<PackedAnswer>(Body);
  if (!ok(Read))
    return errorOf(Read);
  PackedAnswer &Packed = valueOf(Read);
  SubRequestReply Out;
  Out.Snapshot = std::move(Packed.Snapshot);
  Out.Shards = std::move(Packed.Shards);
  Out.Hits.reserve(Packed.Hits.size());
  for (PackedHit &One : Packed.Hits)
    Out.Hits.push_back({One.Shard, std::move(One.Id), One.Score});
  return Out;
}

} // namespace mimosa
