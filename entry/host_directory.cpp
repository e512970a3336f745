#include "entry/host_directory.h"

#include "placement/serving_set.h"
#include "platform/directory_wire.h"

#include <algorithm>

namespace mimosa {

namespace {
constexpr Duration SizeMemory = Seconds(30);
} // namespace

void HostDirectory::setHosts(std::vector<EntryHost> Listed, MonotonicTime Now) {
  if (!Sizes.empty())
    Sizes.back().first = Now;
  std::vector<ServingCandidate> Candidates;
  Candidates.reserve(Listed.size());
  for (const EntryHost &Host : Listed)
    Candidates.push_back({Host.Name, Host.Zone, Host.Capacity, Host.Busy});
  Hosts.clear();
  bool SelfServes = false;
  for (size_t I : servingSet(Candidates)) {
    SelfServes = SelfServes || Listed[I].Name == Self.Name;
    Hosts.push_back(Listed[I]);
  }
  size_t Sharing = SelfServes ? Hosts.size() : Listed.size();
  Sizes.emplace_back(Now, static_cast<uint32_t>(Sharing));
}

uint32_t HostDirectory::sharingHosts(MonotonicTime Now) {
  uint32_t Most = 1;
  for (size_t I = 0; I < Sizes.size(); ++I)
    if (I + 1 == Sizes.size() || Now - Sizes[I].first < SizeMemory)
      Most = std::max(Most, Sizes[I].second);
  while (Sizes.size() > 1 && Now - Sizes.front().first >= SizeMemory)
    Sizes.erase(Sizes.begin());
  return Most;
}

std::vector<std::string> HostDirectory::addresses() const {
  std::vector<std::string> Out;
  for (const EntryHost &Host : Hosts)
    if (Host.Name != Self.Name || ready())
      Out.push_back(Host.CallerAddress);
  // Callers without any address would ask again at once; this host at least
  // refuses truthfully.
  if (Out.empty())
    Out.push_back(Self.CallerAddress);
  for (size_t I = Out.size(); I > MaxAddressesPerAnswer; --I) {
    std::swap(Out[Rng.below(I)], Out[I - 1]);
    Out.pop_back();
  }
  return Out;
}

HttpResponse HostDirectory::answer(const HttpRequest &Request) const {
  if (isAddressRequest(Request))
    return encodeAddresses(addresses(), AddressLifetime);
  if (isReadinessRequest(Request))
    return encodeReadiness(ready());
  HttpResponse Unknown;
  Unknown.Status = 404;
  Unknown.Body = errorBody({ResultCode::NotFound, "no such page"});
  return Unknown;
}

} // namespace mimosa
