// Finds the route of a request: among the routes of the host name, the one with
// the longest prefix that begins the path.
//
//   RouteTable Table(std::move(Config));
//   const Route *Found = Table.find("search.example", "/orders/2f");
//
// A table is immutable; a query keeps the table that it began with, so that
// all of its shards come from one version of the configuration.

#ifndef MIMOSA_ROUTING_ROUTE_TABLE_H
#define MIMOSA_ROUTING_ROUTE_TABLE_H

#include "routing/route.h"

#include <string_view>

namespace mimosa {

class RouteTable {
public:
  explicit RouteTable(RoutingConfig Config);

  /// The route of \p Path (without a query string) at \p Host, which may carry
  /// a port and is compared in any case; null if there is none.
  const Route *find(std::string_view Host, std::string_view Path) const;

  const RoutingConfig &config() const { return Config; }
  uint64_t version() const { return Config.Version; }
  /// The limits of \p Service; defaults if it is not listed.
  const ServiceLimits &limits(const ServiceId &Service) const;

private:
  RoutingConfig Config;
  /// By host name in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_ROUTE_TABLE_H
