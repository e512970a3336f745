#include "tools/kv_stand_in.h"

#include <cstdlib>

namespace mimosa {

namespace {

constexpr size_t MaxValueBytes = 1000000;
constexpr size_t ListPageSize = 100;
constexpr int64_t MaxWatchMs = 60000;

HttpResponse jsonResponse(int Status, const Json &Body) {
  return {Status, "application/json", Body.dump()};
}

std::string parameter(const std::map<std::string, std::string> &All,
                      const char *Name) {
  auto It = All.find(Name);
  return It == All.end() ? "" : It->second;
}

} // namespace

HttpResponse
KeyValueStandIn::handle(const HttpRequest &Request,
                        const std::shared_ptr<CallerConnection> &Caller) {
  if (Request.path() == "/fault")
    return setFault(Request);
  if (Request.path() == "/stats")
    return stats();
  if (Fault.Silent) {
    FiberEvent Disconnected;
    Caller->onDisconnect(
        [&Disconnected](DisconnectReason) { Disconnected.set(); });
    Disconnected.wait();
    return {0, "", ""};
  }
  if (Fault.DelayMs > 0)
    FiberLoop::sleepFor(Milliseconds(Fault.DelayMs));
  if (Fault.Down)
    return jsonResponse(503, {{"error", "unavailable"}});
  return route(Request);
}

HttpResponse KeyValueStandIn::route(const HttpRequest &Request) {
  auto Parameters = Request.parameters();
  std::string_view Path = Request.path();
  if (Path == "/kv" && Request.Method == "GET")
    return read(parameter(Parameters, "key"));
  if (Path == "/kv" && Request.Method == "POST")
    return write(Request);
  if (Path == "/kv" && Request.Method == "DELETE")
    return remove(parameter(Parameters, "key"));
  if (Path == "/list")
    return list(Parameters);
  if (Path == "/watch")
    return watch(Parameters);
  if (Path == "/hosts") {
    ++Counts.Hosts;
    return jsonResponse(200, {{"hosts", HostList}});
  }
  return jsonResponse(404, {{"error", "unknown path"}});
}

HttpResponse KeyValueStandIn::read(const std::string &Key) {
  ++Counts.Reads;
  auto It = Values.find(Key);
  if (It == Values.end())
    return jsonResponse(404, {{"error", "no such key"}});
  return jsonResponse(
      200, {{"value", It->second.Value}, {"version", It->second.Version}});
}

HttpResponse KeyValueStandIn::write(const HttpRequest &Request) {
  ++Counts.Writes;
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return jsonResponse(400, {{"error", errorOf(Body).Message}});
  JsonFields Fields(valueOf(Body), "write");
  std::string Key = Fields.text("key");
  std::string Value = Fields.textOr("value", "");
  auto Expected =
      static_cast<uint64_t>(Fields.number("expected_version", 0, INT64_MAX));
  if (Value.size() > MaxValueBytes)
    Fields.fail(ResultCode::BodyTooLarge, "write.value is over 1 MB");
  if (Fields.failed())
    return jsonResponse(400, {{"error", Fields.error().Message}});
  auto It = Values.find(Key);
  uint64_t Current = It == Values.end() ? 0 : It->second.Version;
  if (Current != Expected) {
    std::string CurrentValue = It == Values.end() ? "" : It->second.Value;
    return jsonResponse(409, {{"version", Current}, {"value", CurrentValue}});
  }
  Values[Key] = {Value, ++LastVersion};
  Changed.set();
  if (loseReply())
    return {0, "", ""};
  return jsonResponse(200, {{"version", LastVersion}});
}

HttpResponse KeyValueStandIn::remove(const std::string &Key) {
  ++Counts.Writes;
  Values.erase(Key);
  if (loseReply())
    return {0, "", ""};
  return jsonResponse(200, Json::object());
}

bool KeyValueStandIn::loseReply() {
  if (Fault.LoseReplies == 0)
    return false;
  --Fault.LoseReplies;
  return true;
}

HttpResponse
KeyValueStandIn::list(const std::map<std::string, std::string> &Parameters) {
  ++Counts.Lists;
  std::string Prefix = parameter(Parameters, "prefix");
  Json Entries = Json::array();
  auto It =
      Values.upper_bound(std::max(Prefix, parameter(Parameters, "after")));
  for (; It != Values.end() && Entries.size() < ListPageSize; ++It) {
    if (It->first.compare(0, Prefix.size(), Prefix) != 0)
      break;
    Entries.push_back({{"key", It->first},
                       {"value", It->second.Value},
                       {"version", It->second.Version}});
  }
  return jsonResponse(200, {{"entries", Entries}});
}

HttpResponse
KeyValueStandIn::watch(const std::map<std::string, std::string> &Parameters) {
  ++Counts.Watches;
  std::string Key = parameter(Parameters, "key");
  uint64_t KnownVersion =
      std::strtoull(parameter(Parameters, "version").c_str(), nullptr, 10);
  int64_t WaitMs =
      std::strtoll(parameter(Parameters, "wait_ms").c_str(), nullptr, 10);
  MonotonicTime Deadline =
      Loop.now() +
      Milliseconds(std::min(std::max<int64_t>(WaitMs, 0), MaxWatchMs));
  while (true) {
    auto It = Values.find(Key);
    if (It != Values.end() && It->second.Version > KnownVersion)
      return jsonResponse(
          200, {{"value", It->second.Value}, {"version", It->second.Version}});
    Changed.clear();
    if (!Changed.waitUntil(Deadline))
      return {204, "application/json", ""};
    if (Fault.Down)
      return jsonResponse(503, {{"error", "unavailable"}});
  }
}

HttpResponse KeyValueStandIn::setFault(const HttpRequest &Request) {
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return jsonResponse(400, {{"error", errorOf(Body).Message}});
  JsonFields Fields(valueOf(Body), "fault");
  Faults Next = Fault;
  Next.Down = Fields.flagOr("down", Fault.Down);
  Next.Silent = Fields.flagOr("silent", Fault.Silent);
  Next.DelayMs = Fields.numberOr("delay_ms", 0, 600000, Fault.DelayMs);
  Next.LoseReplies =
      Fields.numberOr("lose_replies", 0, 1000000, Fault.LoseReplies);
  if (Fields.failed())
    return jsonResponse(400, {{"error", Fields.error().Message}});
  if (valueOf(Body).contains("hosts"))
    HostList = valueOf(Body)["hosts"];
  Fault = Next;
  Changed.set();
  return jsonResponse(200, Json::object());
}

HttpResponse KeyValueStandIn::stats() const {
  return jsonResponse(200, {{"reads", Counts.Reads},
                            {"writes", Counts.Writes},
                            {"watches", Counts.Watches},
                            {"lists", Counts.Lists},
                            {"hosts", Counts.Hosts},
                            {"keys", Values.size()}});
}

} // namespace mimosa
