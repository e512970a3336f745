#include "config/config.h"

#include <arpa/inet.h>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <unordered_set>

namespace mimosa {

namespace {

// Bounds of the fields, as in docs/design.md, 5.6. The page gives none for
// slots and connections; theirs only reject obvious mistakes.
constexpr int64_t MaxDeadlineMs = 10000;
constexpr int64_t MinSubRequestLimitMs = 10;
constexpr int64_t MaxSubRequestLimitMs = 10000;
constexpr int64_t MaxQueueLimit = 100000;
constexpr int64_t MaxWeight = 100;
constexpr int64_t MaxSlots = 10000;
constexpr int64_t MaxConnections = 100000;
constexpr size_t MaxNameBytes = 64;

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes)
    return false;
  return Text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
         std::string_view::npos;
}

bool isPort(std::string_view Text) {
  uint32_t Port = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  bool IsNumber = Failure == std::errc() && End == Text.data() + Text.size();
  return IsNumber && Port >= 1 && Port <= 65535 && Text.front() != '0';
}

/// The canonical form of \p Address, in which equal addresses are equal
/// strings; nothing if it is not an IP address and a port.
std::optional<std::string> canonicalAddress(const std::string &Address) {
  size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos || Colon + 1 == Address.size())
    return std::nullopt;
  if (!isPort(std::string_view(Address).substr(Colon + 1)))
    return std::nullopt;
  std::string Host = Address.substr(0, Colon);
  int Family = AF_INET;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Host = Host.substr(1, Host.size() - 2);
    Family = AF_INET6;
  }
  in6_addr Number{};
  char Text[INET6_ADDRSTRLEN];
  if (inet_pton(Family, Host.c_str(), &Number) != 1 ||
      !inet_ntop(Family, &Number, Text, sizeof(Text)))
    return std::nullopt;
  return std::string(Text) + Address.substr(Colon);
}

/// Parses one document; stops at the first error.
class Parser {
public:
  Result<Config> parse(const Json &Document, const std::string &Path);

private:
  using Names = std::unordered_set<std::string>;

  std::vector<Region> parseRegions(const Json &List, const std::string &Path);
  AvailabilityZone parseZone(const Json &Object, const std::string &Path);
  Service parseService(const Json &Object, const std::string &Path);
  BackendServer parseBackendServer(const Json &Object, const std::string &Path);

  void rejectUnknownFields(JsonFields &Fields, const Json &Object,
                           std::initializer_list<std::string_view> Allowed);
  std::string uniqueName(JsonFields &Fields, Names &Used, const char *Kind);
  std::string uniqueAddress(JsonFields &Fields);
  bool hasOtherState(JsonFields &Fields, const char *Default,
                     const char *Other);

  /// Records the first error of \p Fields, unless there is one already.
  void recordError(const JsonFields &Fields) {
    if (Fields.failed() && !Failure)
      Failure = Error{ResultCode::InvalidConfig, Fields.error().Message};
  }

  std::optional<Error> Failure;
  Names Regions, Zones, Services, BackendServers, Addresses;
};

std::string elementPath(const std::string &Path, const char *Field,
                        size_t Index) {
  std::string Prefix = Path.empty() ? "" : Path + ".";
  return Prefix + Field + "[" + std::to_string(Index) + "]";
}

void Parser::rejectUnknownFields(
    JsonFields &Fields, const Json &Object,
    std::initializer_list<std::string_view> Allowed) {
  if (!Object.is_object())
    return;
  for (const auto &Item : Object.items()) {
    bool Found = false;
    for (std::string_view Name : Allowed)
      Found = Found || Name == Item.key();
    if (!Found)
      Fields.fail(ResultCode::InvalidConfig,
                  Fields.path() + "." + Item.key() + " is not a known field");
  }
}

std::string Parser::uniqueName(JsonFields &Fields, Names &Used,
                               const char *Kind) {
  std::string Name = Fields.text("name");
  if (Fields.failed())
    return Name;
  if (!isName(Name))
    Fields.fail(ResultCode::InvalidConfig,
                Fields.path() +
                    ".name must be 1 to 64 characters of a-z 0-9 - _ ., not " +
                    Json(Name).dump());
  else if (!Used.insert(Name).second)
    Fields.fail(ResultCode::InvalidConfig,
                Fields.path() + ".name \"" + Name +
                    "\" is already the name of another " + Kind);
  return Name;
}

std::string Parser::uniqueAddress(JsonFields &Fields) {
  std::string Address = Fields.text("address");
  if (Fields.failed())
    return Address;
  std::optional<std::string> Canonical = canonicalAddress(Address);
  if (!Canonical)
    Fields.fail(ResultCode::InvalidConfig,
                Fields.path() +
                    ".address must be an IP address and a port, not " +
                    Json(Address).dump());
  else if (!Addresses.insert(*Canonical).second)
    Fields.fail(ResultCode::InvalidConfig,
                Fields.path() + ".address \"" + Address +
                    "\" is already the address of another backend server");
  return Address;
}

/// Reads the field "state", whose two values are \p Default and \p Other; true
/// if it is \p Other.
bool Parser::hasOtherState(JsonFields &Fields, const char *Default,
                           const char *Other) {
  std::string State = Fields.textOr("state", Default);
  if (State != Default && State != Other)
    Fields.fail(ResultCode::InvalidConfig, Fields.path() + ".state must be \"" +
                                               Default + "\" or \"" + Other +
                                               "\", not " + Json(State).dump());
  return State == Other;
}

AvailabilityZone Parser::parseZone(const Json &Object,
                                   const std::string &Path) {
  JsonFields Fields(Object, Path);
  rejectUnknownFields(Fields, Object, {"name", "state"});
  AvailabilityZone Zone;
  Zone.Name =
      AvailabilityZoneId(uniqueName(Fields, Zones, "availability zone"));
  Zone.State =
      hasOtherState(Fields, "in", "out") ? ZoneState::Out : ZoneState::In;
  recordError(Fields);
  return Zone;
}

std::vector<Region> Parser::parseRegions(const Json &List,
                                         const std::string &Path) {
  std::vector<Region> Parsed;
  for (size_t I = 0; I < List.size() && !Failure; ++I) {
    JsonFields Fields(List[I], elementPath(Path, "regions", I));
    rejectUnknownFields(Fields, List[I], {"name", "zones"});
    Region Next;
    Next.Name = RegionId(uniqueName(Fields, Regions, "region"));
    const Json &ZoneList = Fields.array("zones");
    recordError(Fields);
    for (size_t J = 0; J < ZoneList.size() && !Failure; ++J)
      Next.Zones.push_back(
          parseZone(ZoneList[J], elementPath(Fields.path(), "zones", J)));
    Parsed.push_back(std::move(Next));
  }
  return Parsed;
}

BackendServer Parser::parseBackendServer(const Json &Object,
                                         const std::string &Path) {
  JsonFields Fields(Object, Path);
  rejectUnknownFields(Fields, Object,
                      {"name", "address", "zone", "slots", "connections",
                       "cold_limit", "state"});
  BackendServer Server;
  Server.Name =
      BackendServerId(uniqueName(Fields, BackendServers, "backend server"));
  Server.Address = uniqueAddress(Fields);
  Server.Zone = AvailabilityZoneId(Fields.text("zone"));
  if (!Fields.failed() && Zones.count(Server.Zone.text()) == 0)
    Fields.fail(ResultCode::InvalidConfig,
                Path + ".zone " + Json(Server.Zone.text()).dump() +
                    " is not an availability zone of any region");
  int64_t Slots = Fields.number("slots", 1, MaxSlots);
  Server.Slots = static_cast<uint32_t>(Slots);
  Server.Connections =
      static_cast<uint32_t>(Fields.number("connections", 1, MaxConnections));
  Server.ColdLimit =
      static_cast<uint32_t>(Fields.numberOr("cold_limit", 1, Slots, 1));
  Server.State = hasOtherState(Fields, "in", "draining")
                     ? BackendAdminState::Draining
                     : BackendAdminState::In;
  recordError(Fields);
  return Server;
}

Service Parser::parseService(const Json &Object, const std::string &Path) {
  JsonFields Fields(Object, Path);
  rejectUnknownFields(Fields, Object,
                      {"name", "default_deadline_ms", "sub_request_limit_ms",
                       "queue_limit", "weight", "backend_servers"});
  Service Next;
  Next.Name = ServiceId(uniqueName(Fields, Services, "service"));
  Next.DefaultDeadline =
      Milliseconds(Fields.numberOr("default_deadline_ms", 1, MaxDeadlineMs,
                                   inMilliseconds(Next.DefaultDeadline)));
  Next.SubRequestLimit = Milliseconds(Fields.numberOr(
      "sub_request_limit_ms", MinSubRequestLimitMs, MaxSubRequestLimitMs,
      inMilliseconds(Next.SubRequestLimit)));
  Next.QueueLimit = static_cast<uint32_t>(
      Fields.numberOr("queue_limit", 1, MaxQueueLimit, Next.QueueLimit));
  Next.Weight = static_cast<uint32_t>(
      Fields.numberOr("weight", 1, MaxWeight, Next.Weight));
  const Json &Servers = Fields.array("backend_servers");
  recordError(Fields);
  for (size_t I = 0; I < Servers.size() && !Failure; ++I)
    Next.BackendServers.push_back(parseBackendServer(
        Servers[I], elementPath(Path, "backend_servers", I)));
  return Next;
}

Result<Config> Parser::parse(const Json &Document, const std::string &Path) {
  JsonFields Fields(Document, Path.empty() ? "document" : Path);
  rejectUnknownFields(Fields, Document,
                      {"revision", "change_id", "regions", "services"});
  Config Parsed;
  Parsed.ConfigRevision =
      Revision(static_cast<uint64_t>(Fields.number("revision", 0, INT64_MAX)));
  Parsed.ChangeId = Fields.text("change_id");
  if (Parsed.ChangeId.size() > MaxChangeIdBytes)
    Fields.fail(ResultCode::InvalidConfig,
                Fields.path() + ".change_id must have at most " +
                    std::to_string(MaxChangeIdBytes) + " bytes, not " +
                    std::to_string(Parsed.ChangeId.size()));
  const Json &RegionList = Fields.array("regions");
  const Json &ServiceList = Fields.array("services");
  recordError(Fields);
  if (!Failure)
    Parsed.Regions = parseRegions(RegionList, Path);
  for (size_t I = 0; I < ServiceList.size() && !Failure; ++I)
    Parsed.Services.push_back(
        parseService(ServiceList[I], elementPath(Path, "services", I)));
  if (Failure)
    return *Failure;
  return Parsed;
}

} // namespace

Result<Config> parseConfigJson(const Json &Document, const std::string &Path) {
  return Parser().parse(Document, Path);
}

Result<Config> parseConfig(std::string_view Text) {
  if (Text.size() > MaxConfigBytes)
    return Error{ResultCode::BodyTooLarge, "the document must have at most " +
                                               std::to_string(MaxConfigBytes) +
                                               " bytes, not " +
                                               std::to_string(Text.size())};
  Result<Json> Document = parseJson(Text);
  if (!ok(Document))
    return errorOf(Document);
  return parseConfigJson(valueOf(Document));
}

} // namespace mimosa
