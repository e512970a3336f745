// The configuration document (docs/design.md, 5.6): its data structures, parser
// and JSON form, and the differences between two documents.
//
//   Result<Config> Parsed = parseConfig(Text);
//   if (!ok(Parsed))
//     return errorOf(Parsed); // names the field, as "services[2].weight"
//   const Service *Storm = valueOf(Parsed).service(ServiceId("storm"));
//   std::string Text = printConfig(valueOf(Parsed));
//
// A parsed document is consistent: names and addresses are unique, and the
// availability zone of each backend server exists. printConfig() writes all
// fields, so parsing its output gives an equal document.

#ifndef MIMOSA_CONFIG_CONFIG_H
#define MIMOSA_CONFIG_CONFIG_H

#include "base/ids.h"
#include "base/json_fields.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// The key of the document in the key-value service.
inline constexpr const char *ConfigStoreKey = "config";

/// Longest document in bytes; the key-value service accepts values up to 1 MB.
inline constexpr size_t MaxConfigBytes = 1000000;

/// Longest change id in bytes.
inline constexpr size_t MaxChangeIdBytes = 128;

/// Whether an availability zone serves requests; Out means evacuated.
enum class ZoneState { In, Out };

/// Whether a backend server gets new requests.
enum class BackendAdminState { In, Draining };

/// "in" or "out".
const char *zoneStateName(ZoneState State);

/// "in" or "draining".
const char *backendStateName(BackendAdminState State);

struct AvailabilityZone {
  AvailabilityZoneId Name;
  ZoneState State = ZoneState::In;
};

struct Region {
  RegionId Name;
  std::vector<AvailabilityZone> Zones;
};

struct BackendServer {
  BackendServerId Name;
  /// IP address and port, as "127.0.0.1:9001" or "[::1]:9001".
  std::string Address;
  AvailabilityZoneId Zone;
  /// Requests that it can run at once.
  uint32_t Slots = 1;
  /// Connections that it accepts at once.
  uint32_t Connections = 1;
  /// Concurrent requests during a cold start, unless it announces a limit.
  uint32_t ColdLimit = 1;
  BackendAdminState State = BackendAdminState::In;
};

struct Service {
  ServiceId Name;
  /// Deadline of a query that does not set one.
  Duration DefaultDeadline = Milliseconds(1000);
  /// Longest time for which a sub-request may run on a backend server.
  Duration SubRequestLimit = Milliseconds(1000);
  /// Queries that may wait in one host's queue.
  uint32_t QueueLimit = 200;
  /// Weight in the fair sharing of capacity among the services of one class.
  uint32_t Weight = 1;
  std::vector<BackendServer> BackendServers;
};

/// One revision of the configuration document.
struct Config {
  /// 0 before the first document.
  Revision ConfigRevision;
  std::string ChangeId;
  std::vector<Region> Regions;
  std::vector<Service> Services;

  /// The service named \p Id; null if there is none.
  const Service *service(const ServiceId &Id) const;

  /// The availability zone named \p Id; null if there is none.
  const AvailabilityZone *zone(const AvailabilityZoneId &Id) const;

  /// The region of zone \p Id; null if the zone is unknown.
  const Region *regionOfZone(const AvailabilityZoneId &Id) const;

  /// True if zone \p Id is known and its state is In.
  bool isZoneIn(const AvailabilityZoneId &Id) const;

  /// Number of backend servers in all services.
  size_t backendServerCount() const;
};

/// Parses a document. Fails with BadJson if \p Text is not JSON, BodyTooLarge
/// if it exceeds MaxConfigBytes, and InvalidConfig for any other error, such as
/// a missing or unknown field, a value out of range or a name used twice; the
/// message of InvalidConfig begins with the field's path.
Result<Config> parseConfig(std::string_view Text);

/// Like parseConfig() for a document within another one, such as the body of a
/// configuration change. \p Path precedes the field's path in error messages,
/// if not empty.
Result<Config> parseConfigJson(const Json &Document,
                               const std::string &Path = "");

/// The JSON form of \p Document, with all fields, defaults included.
Json configJson(const Config &Document);

/// The text of configJson(); on one line if \p Indent is negative.
std::string printConfig(const Config &Document, int Indent = -1);

/// The differences between two documents for operators: one line per changed
/// field and per added or removed item, such as
/// "service storm: queue_limit 200 -> 300". Ignores the revision, the change id
/// and the order of items.
std::vector<std::string> differences(const Config &Old, const Config &New);

} // namespace mimosa

#endif // MIMOSA_CONFIG_CONFIG_H
