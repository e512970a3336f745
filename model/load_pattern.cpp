#include "model/load_pattern.h"

#include "base/json_fields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mimosa {

namespace {

// Bounds of the fields. They only reject obvious mistakes and patterns that
// would run for hours.
constexpr int64_t MaxLengthMs = 3600 * 1000;
constexpr int64_t MaxTimeMs = 600 * 1000;
constexpr int64_t MaxCount = 100000;
constexpr double MaxFactor = 10000;

constexpr std::array<std::pair<const char *, ModelEventKind>, 8> EventKinds = {{
    {"slow", ModelEventKind::Slow},
    {"shed", ModelEventKind::Shed},
    {"silent", ModelEventKind::Silent},
    {"crash", ModelEventKind::Crash},
    {"limit", ModelEventKind::Limit},
    {"pause", ModelEventKind::Pause},
    {"leave", ModelEventKind::Leave},
    {"burst", ModelEventKind::Burst},
}};

/// Reads the items of an array of objects; keeps the first error.
class ItemReader {
public:
  explicit ItemReader(std::optional<Error> &Failure) : Failure(Failure) {}

  template <typename Parse>
  void each(const Json &Items, const std::string &Path, Parse ParseItem) {
    for (size_t I = 0; I < Items.size() && !Failure; ++I) {
      JsonFields Fields(Items[I], Path + "[" + std::to_string(I) + "]");
      ParseItem(Fields);
      if (Fields.failed())
        Failure = Fields.error();
    }
  }

private:
  std::optional<Error> &Failure;
};

Duration milliseconds(JsonFields &Fields, const char *Name, int64_t Max,
                      int64_t Fallback) {
  return Milliseconds(Fields.numberOr(Name, 0, Max, Fallback));
}

uint32_t count(JsonFields &Fields, const char *Name, int64_t Lowest,
               int64_t Fallback) {
  return static_cast<uint32_t>(
      Fields.numberOr(Name, Lowest, MaxCount, Fallback));
}

/// The positive numbers of an array; empty if there is none.
std::vector<double> numbers(JsonFields &Fields, const char *Name) {
  std::vector<double> Out;
  for (const Json &Item : Fields.arrayOrEmpty(Name)) {
    if (!Item.is_number() || Item.get<double>() <= 0 ||
        Item.get<double>() > MaxFactor)
      Fields.fail(ResultCode::BadField, Fields.path() + "." + Name +
                                            " must be an array of positive "
                                            "numbers");
    else
      Out.push_back(Item.get<double>());
  }
  return Out;
}

void parseService(JsonFields &Fields, LoadPattern &Out) {
  ServiceModel Model;
  Model.Group = Fields.text("name");
  Model.Servers = count(Fields, "servers", 1, 1);
  Model.Slots = count(Fields, "slots", 1, 4);
  Model.QueueLimit = count(Fields, "queue", 0, 2 * Model.Slots);
  Model.MaxConnections = count(Fields, "connections", 1, 36);
  Model.WorkFactor = Fields.decimalOr("work_factor", 0.001, MaxFactor, 1);
  Model.Pause = milliseconds(Fields, "pause_ms", MaxTimeMs, 0);
  Model.PauseInterval = milliseconds(Fields, "pause_interval_ms", MaxTimeMs, 0);
  if (Model.Pause >= Model.PauseInterval && Model.Pause > Duration(0))
    Fields.fail(ResultCode::BadField,
                Fields.path() + ".pause_interval_ms must exceed pause_ms");
  for (double Factor : numbers(Fields, "work_factors"))
    Model.WorkFactors.push_back(Factor);
  for (double Slots : numbers(Fields, "slot_counts"))
    Model.SlotCounts.push_back(static_cast<uint32_t>(Slots));
  uint32_t Count = count(Fields, "count", 1, 1);
  for (uint32_t I = 1; I <= Count; ++I) {
    Model.Id = ServiceId(Count == 1 ? Model.Group
                                    : Model.Group + "-" + std::to_string(I));
    Out.Services.push_back(Model);
  }
}

std::vector<ServiceId> servicesOfGroup(const LoadPattern &Pattern,
                                       const std::string &Group) {
  std::vector<ServiceId> Out;
  for (const ServiceModel &Model : Pattern.Services)
    if (Model.Group == Group)
      Out.push_back(Model.Id);
  return Out;
}

bool isRoute(const LoadPattern &Pattern, const RouteId &Id) {
  return std::any_of(
      Pattern.Routes.begin(), Pattern.Routes.end(),
      [&](const RouteModel &R) { return R.Definition.Id == Id; });
}

bool isTeam(const LoadPattern &Pattern, const TeamId &Id) {
  return std::any_of(Pattern.Callers.begin(), Pattern.Callers.end(),
                     [&](const CallerModel &C) { return C.Team == Id; });
}

void parseRoute(JsonFields &Fields, LoadPattern &Out) {
  RouteModel Model;
  Route &R = Model.Definition;
  R.Id = RouteId(Fields.text("name"));
  R.Idempotent = Fields.flagOr("idempotent", true);
  R.MaxAttempts = count(Fields, "max_attempts", 1, 2);
  R.Priority = count(Fields, "priority", 0, 1);
  R.TargetLatency = Milliseconds(Fields.number("target_ms", 1, MaxTimeMs));
  R.Timeout = Milliseconds(Fields.number("deadline_ms", 1, MaxTimeMs));
  R.MinCoverage = Fields.decimalOr("min_coverage", 0, 1, 0.89);
  R.TopK = count(Fields, "top_k", 1, 20);
  Model.Work = Duration(Fields.number("work_us", 1, MaxTimeMs * 1000));
  Model.WorkSpread = Fields.decimalOr("work_spread", 0, 1, 0);
  auto Resolve = [&](const Json &Group) {
    std::vector<ServiceId> Found;
    if (Group.is_string())
      Found = servicesOfGroup(Out, Group.get<std::string>());
    if (Found.empty())
      Fields.fail(ResultCode::BadField,
                  Fields.path() + " names " + Group.dump() +
                      ", which is not the name of a service");
    return Found;
  };
  if (std::string Target = Fields.textOr("service", ""); !Target.empty()) {
    for (const ServiceId &Id : Resolve(Json(Target)))
      R.Targets.push_back({Id, 1});
  } else {
    for (const Json &Group : Fields.array("shards"))
      for (const ServiceId &Id : Resolve(Group))
        R.Shards.push_back(Id);
  }
  Out.Routes.push_back(std::move(Model));
}

void parseCaller(JsonFields &Fields, LoadPattern &Out) {
  CallerModel Model;
  Model.Route = RouteId(Fields.text("route"));
  Model.Team = TeamId(Fields.textOr("team", ""));
  Model.Zone = count(Fields, "zone", 0, 0);
  Model.ClosedLoop = count(Fields, "closed_loop", 0, 0);
  Model.ThinkTime = milliseconds(Fields, "think_ms", MaxTimeMs, 0);
  Model.RatePerSecond = Fields.decimalOr("rate_per_s", 0, MaxCount, 0);
  Model.Retries = count(Fields, "retries", 0, 0);
  if (!isRoute(Out, Model.Route))
    Fields.fail(ResultCode::BadField, Fields.path() + ".route names \"" +
                                          Model.Route.text() +
                                          "\", which is not a route");
  if (Model.Zone > std::min(Out.Zones, Out.Hosts))
    Fields.fail(ResultCode::BadField,
                Fields.path() + ".zone must be that of a host");
  if ((Model.ClosedLoop > 0) == (Model.RatePerSecond > 0))
    Fields.fail(ResultCode::BadField,
                Fields.path() + " needs either closed_loop or rate_per_s");
  Out.Callers.push_back(Model);
}

void parseEvent(JsonFields &Fields, LoadPattern &Out) {
  ModelEvent Model;
  Model.At = MonotonicTime(milliseconds(Fields, "at_ms", MaxLengthMs, 0));
  Model.For = milliseconds(Fields, "for_ms", MaxLengthMs, MaxLengthMs);
  std::string Kind = Fields.text("kind");
  auto Found =
      std::find_if(EventKinds.begin(), EventKinds.end(),
                   [&](const auto &Entry) { return Kind == Entry.first; });
  if (Found == EventKinds.end())
    Fields.fail(ResultCode::BadField,
                Fields.path() +
                    ".kind must be slow, shed, silent, crash, limit, "
                    "pause, leave or burst, not \"" +
                    Kind + "\"");
  else
    Model.Kind = Found->second;
  bool IsBurst = Model.Kind == ModelEventKind::Burst;
  std::string Team = Fields.textOr("team", "");
  bool IsTeamBurst = IsBurst && !Team.empty();
  Model.Subject =
      IsTeamBurst ? Team : Fields.text(IsBurst ? "route" : "service");
  if (IsTeamBurst ? !isTeam(Out, TeamId(Team))
      : IsBurst   ? !isRoute(Out, RouteId(Model.Subject))
                  : servicesOfGroup(Out, Model.Subject).empty())
    Fields.fail(ResultCode::BadField, Fields.path() + " names \"" +
                                          Model.Subject +
                                          "\", which does not exist");
  Model.FirstServer = count(Fields, "first_server", 1, 1);
  Model.Servers = count(Fields, "servers", 0, 0);
  Model.Factor = Fields.decimalOr("factor", 0, MaxFactor, 1);
  Out.Events.push_back(std::move(Model));
}

} // namespace

Result<LoadPattern> parseLoadPattern(std::string_view Text) {
  Result<Json> Parsed = parseJson(Text);
  if (!ok(Parsed))
    return errorOf(Parsed);
  JsonFields Fields(valueOf(Parsed), "pattern");
  LoadPattern Out;
  Out.Seed = static_cast<uint64_t>(Fields.numberOr("seed", 0, INT64_MAX, 1));
  Out.Length = Milliseconds(Fields.number("length_ms", 1, MaxLengthMs));
  Out.Hosts = count(Fields, "hosts", 1, 1);
  Out.Zones = count(Fields, "zones", 1, 1);
  Out.NetworkTime =
      Duration(Fields.numberOr("network_us", 0, MaxTimeMs * 1000, 100));
  Out.CrossZoneTime =
      Duration(Fields.numberOr("cross_zone_us", 0, MaxTimeMs * 1000, 0));
  Out.RetryRatio = Fields.decimalOr("retry_ratio", 0, MaxFactor, 0.2);
  Out.RetrySlack = Fields.decimalOr("retry_slack", 0, MaxCount, 50);
  const Json &Services = Fields.array("services");
  const Json &Routes = Fields.array("routes");
  const Json &Callers = Fields.array("callers");
  static const Json NoEvents = Json::array();
  const Json &Events =
      valueOf(Parsed).contains("events") ? Fields.array("events") : NoEvents;
  if (Fields.failed())
    return Fields.error();
  std::optional<Error> Failure;
  ItemReader Reader(Failure);
  Reader.each(Services, "services", [&](auto &F) { parseService(F, Out); });
  Reader.each(Routes, "routes", [&](auto &F) { parseRoute(F, Out); });
  Reader.each(Callers, "callers", [&](auto &F) { parseCaller(F, Out); });
  Reader.each(Events, "events", [&](auto &F) { parseEvent(F, Out); });
  if (Failure)
    return *Failure;
  return Out;
}

} // namespace mimosa
