// Which backend servers of a service may be chosen for a request, for services
// whose traffic is being moved from one version to another. ServerRegistry asks
// it at each choice.

#ifndef MIMOSA_BALANCE_SERVER_FILTER_H
#define MIMOSA_BALANCE_SERVER_FILTER_H

#include "balance/backend_server.h"
#include "routing/route.h"

namespace mimosa {

/// What a backend server may be used for.
enum class ServerRole {
  Regular,
  /// Only for first attempts that ServerFilter::trialDue() selects, and in
  /// place of regular ones if none of those is usable.
  Trial,
  /// Only if no regular one is usable.
  Fallback,
  Excluded,
};

/// The roles of the backend servers of one service.
class ServerFilter {
public:
  virtual ~ServerFilter() = default;
  virtual ServerRole role(const BackendServer &Server) const = 0;
  /// Whether the next first attempt on \p Route should go to a trial server.
  virtual bool trialDue(const RouteId &Route, MonotonicTime Now) = 0;
  /// Records the choice for a first attempt on \p Route.
  virtual void recordFirstAttempt(const RouteId &Route,
                                  const BackendServer &Server) = 0;
  virtual void recordSend(const BackendServer &Server) = 0;
};

/// The filters of all services.
class ServerFilters {
public:
  virtual ~ServerFilters() = default;
  /// Null if all backend servers of \p Service are regular.
  virtual ServerFilter *find(const ServiceId &Service) const = 0;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_SERVER_FILTER_H
