// Finds the route of a request: of the routes for its host name, the one with
// the longest matching path prefix.
//
//   RouteTable Table(std::move(Config));
//   const Route *Found = Table.find("search.example", "/orders/2f");
//
// A table is immutable. A query keeps the table with which it started, so that
// all of its shards belong to one version of the configuration.

#ifndef MIMOSA_ROUTING_ROUTE_TABLE_H
#define MIMOSA_ROUTING_ROUTE_TABLE_H

#include "routing/route.h"

#include <string_view>

namespace mimosa {

class RouteTable {
public:
  explicit RouteTable(RoutingConfig Config);

  /// The route for \p Path, without a query string, on \p Host; null if there
  /// is none. \p Host may include a port and is compared without regard to
  /// case.
  const Route *find(std::string_view Host, std::string_view Path) const;

  const RoutingConfig &config() const { return Config; }
  uint64_t version() const { return Config.Version; }
  /// The limits of \p Service; the defaults if it is not configured.
  const ServiceLimits &limits(const ServiceId &Service) const;

private:
  RoutingConfig Config;
  /// Routes by host name in lower case, longest path prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_ROUTE_TABLE_H
