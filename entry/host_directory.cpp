#include "entry/host_directory.h"

#include "platform/directory_wire.h"

#include <algorithm>

namespace mimosa {

namespace {
constexpr Duration HostCountWindow = Seconds(30);
/// Callers keep addresses for several seconds, and an entry that expired while
/// the store was unreachable is written again within seconds.
constexpr Duration ServingMemory = Seconds(30);
/// Attempts in a second: more than the test requests of the platform cause.
constexpr uint64_t AttemptsOfCallers = 20;
} // namespace

ServingCandidate candidateOf(const EntryHost &Host) {
  return {Host.Name, Host.Zone, Host.Capacity, Host.Busy};
}

void HostDirectory::setHosts(std::vector<EntryHost> ListedHosts,
                             MonotonicTime Now) {
  if (!HostCounts.empty())
    HostCounts.back().first = Now;
  std::vector<ServingCandidate> Candidates;
  Candidates.reserve(ListedHosts.size());
  for (const EntryHost &Host : ListedHosts)
    Candidates.push_back(candidateOf(Host));
  Hosts.clear();
  if (SelfServes)
    ServedUntil = Now;
  SelfServes = false;
  for (size_t I : servingSet(Candidates)) {
    SelfServes = SelfServes || ListedHosts[I].Name == Self.Name;
    Hosts.push_back(ListedHosts[I]);
  }
  size_t Count = SelfServes ? Hosts.size() : ListedHosts.size();
  HostCounts.emplace_back(Now, static_cast<uint32_t>(Count));
}

bool HostDirectory::hasCallers(uint64_t RecentAttempts,
                               MonotonicTime Now) const {
  return SelfServes || RecentAttempts >= AttemptsOfCallers ||
         (ServedUntil && Now - *ServedUntil < ServingMemory);
}

uint32_t HostDirectory::sharingHosts(MonotonicTime Now) {
  uint32_t Max = 1;
  for (size_t I = 0; I < HostCounts.size(); ++I)
    if (I + 1 == HostCounts.size() ||
        Now - HostCounts[I].first < HostCountWindow)
      Max = std::max(Max, HostCounts[I].second);
  while (HostCounts.size() > 1 &&
         Now - HostCounts.front().first >= HostCountWindow)
    HostCounts.erase(HostCounts.begin());
  return Max;
}

std::vector<std::string> HostDirectory::addresses() const {
  std::vector<std::string> Out;
  for (const EntryHost &Host : Hosts)
    if (Host.Name != Self.Name || ready())
      Out.push_back(Host.CallerAddress);
  // Without a listing, this host can still serve by itself. If it knows no
  // configuration either, callers should ask another host.
  if (Out.empty() && Configured)
    Out.push_back(Self.CallerAddress);
  for (size_t I = Out.size(); I > MaxAddressesPerAnswer; --I) {
    std::swap(Out[Rng.below(I)], Out[I - 1]);
    Out.pop_back();
  }
  return Out;
}

HttpResponse HostDirectory::answer(const HttpRequest &Request) const {
  if (isAddressRequest(Request)) {
    std::vector<std::string> Addresses = addresses();
    return Addresses.empty() ? encodeNoAddresses()
                             : encodeAddresses(Addresses, AddressLifetime);
  }
  if (isReadinessRequest(Request))
    return encodeReadiness(ready());
  HttpResponse Unknown;
  Unknown.Status = 404;
  Unknown.Body = errorBody({ResultCode::NotFound, "unknown path"});
  return Unknown;
}

} // namespace mimosa
