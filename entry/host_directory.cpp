#include "entry/host_directory.h"

#include "platform/directory_wire.h"

#include <algorithm>

namespace mimosa {

namespace {
constexpr Duration SizeMemory = Seconds(30);
} // namespace

void HostDirectory::setHosts(std::vector<EntryHost> Listed, MonotonicTime Now) {
  if (!Sizes.empty())
    Sizes.back().first = Now;
  Hosts = std::move(Listed);
  Sizes.emplace_back(Now, static_cast<uint32_t>(Hosts.size()));
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
  bool SelfListed = false;
  for (const EntryHost &Host : Hosts) {
    bool IsSelf = Host.Name == Self.Name;
    SelfListed = SelfListed || IsSelf;
    if (!IsSelf || ready())
      Out.push_back(Host.CallerAddress);
  }
  if (ready() && !SelfListed)
    Out.push_back(Self.CallerAddress);
  // Callers without any address would ask again at once; this host at least
  // refuses truthfully.
  if (Out.empty())
    Out.push_back(Self.CallerAddress);
  for (size_t I = Out.size(); I > MaxAnsweredAddresses; --I) {
    std::swap(Out[Rng.below(I)], Out[I - 1]);
    Out.pop_back();
  }
  return Out;
}

HttpResponse HostDirectory::answer(const HttpRequest &Request) const {
  if (asksForAddresses(Request))
    return encodeAddresses(addresses(), AddressLifetime);
  if (asksForReadiness(Request))
    return encodeReadiness(ready());
  HttpResponse Unknown;
  Unknown.Status = 404;
  Unknown.Body = errorBody({ResultCode::NotFound, "no such page"});
  return Unknown;
}

} // namespace mimosa
