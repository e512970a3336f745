// Passes this host's picture of the store on to other hosts, and decides whom
// this host gets it from.
//
// Each call to the store is counted and priced, and its rates grow more slowly
// than the fleet. So in each zone one host follows the store, and the others
// follow that host. The host is the first of its zone by name among those that
// are listed; when it does not answer, the next one is asked, and after
// MaxLeaders failures the store itself. A host that cannot reach the store says
// so, and its followers go elsewhere.

#ifndef MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H
#define MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H

#include "runtime/peer.h"
#include "store_cache/messages.h"
#include "store_cache/source_health.h"

namespace mimosa {

/// A host that may pass on its picture.
struct LeaderCandidate {
  std::string Name;
  /// Peer address, "ip:port".
  HostId Address;
  AvailabilityZoneId Zone;
};

/// Chooses the host to follow. Without input or output; times are passed in.
class LeaderSelector {
public:
  LeaderSelector(std::string OwnName, AvailabilityZoneId OwnZone)
      : OwnName(std::move(OwnName)), OwnZone(std::move(OwnZone)) {}

  void setHosts(std::vector<LeaderCandidate> Listed);
  /// The host to follow; nothing if the store is to be followed.
  std::optional<HostId> leader(MonotonicTime Now) const;
  /// \p Leader did not answer or is not fresh.
  void recordFailure(const HostId &Leader, MonotonicTime Now);

private:
  std::string OwnName;
  AvailabilityZoneId OwnZone;
  /// Hosts of the zone that come before this one, by name.
  std::vector<LeaderCandidate> Before;
  std::map<HostId, MonotonicTime> FailedAt;
};

/// Answers the requests of followers.
class StoreCacheRelay : public PeerHandler {
public:
  StoreCacheRelay(FiberLoop &Loop, const StoreCache &Own,
                  const SourceHealth &Source)
      : Loop(Loop), Own(Own), Source(Source) {}

  /// Starts the timer that ends long waits, and waits for a lost source.
  void start();
  /// The picture has changed.
  void cacheChanged() { replyToFollowers(); }

  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override;

private:
  struct Follower {
    StoreRevision After;
    MonotonicTime Until;
    PeerReplier Reply;
  };

  bool fresh() const;
  StoreCacheReply replyTo(StoreRevision After) const;
  void replyToFollowers();
  void onTick();

  FiberLoop &Loop;
  const StoreCache &Own;
  const SourceHealth &Source;
  std::vector<Follower> Followers;
  Subscription Tick;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H
