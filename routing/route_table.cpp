#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace mimosa {

namespace {

/// Returns \p Host in lower case and without its port.
std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  for (char &C : Key)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Key;
}

} // namespace

size_t Route::minShardResults() const {
  // Without the tolerance, a rounding error could increase the result where the
  // product is a whole number, such as 0.9 x 10.
  double MinResults = MinCoverage * static_cast<double>(Shards.size()) - 1e-9;
  return std::max<size_t>(1, static_cast<size_t>(std::ceil(MinResults)));
}

RouteTable::RouteTable(RoutingConfig NewConfig) : Config(std::move(NewConfig)) {
  for (const Route &R : Config.Routes)
    ByHost[hostKey(R.Host)].push_back(&R);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route *A, const Route *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  auto Found = ByHost.find(hostKey(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (const Route *R : Found->second)
    if (Path.substr(0, R->PathPrefix.size()) == R->PathPrefix)
      return R;
  return nullptr;
}

const ServiceLimits &RouteTable::limits(const ServiceId &Service) const {
  static const ServiceLimits DefaultLimits;
  auto Found = Config.Services.find(Service);
  return Found == Config.Services.end() ? DefaultLimits : Found->second;
}

} // namespace mimosa
