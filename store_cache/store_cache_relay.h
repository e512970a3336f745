// Serves this host's store cache to other hosts, and selects the host from
// which this one updates its own cache.
//
//   StoreCacheRelay Relay(Loop, Cache, Source);
//   Relay.start();
//   Relay.cacheChanged();               // after each update of the cache
//
// Calls to the store are counted and charged, and their permitted rate grows
// more slowly than the fleet. In each zone one host, the leader, therefore
// follows the store, and the other hosts follow the leader. The leader is the
// first listed host of the zone by name. If it does not answer, a host follows
// the next one, and if MaxLeaders hosts have failed, the store. If the store
// fails too, since it turns this host away, the last source are the first hosts
// of the other zones. A leader that cannot reach the store reports its cache as
// stale, and its followers turn to another source.
//
// Replies with changes are compressed and sent one after another at a share of
// the link. If all were sent at once, each would arrive late, after its
// follower has turned to another host, and callers' traffic would wait behind
// them. A request whose follower has given up is dropped.

#ifndef MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H
#define MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H

#include "runtime/peer.h"
#include "store_cache/messages.h"
#include "store_cache/send_pacer.h"
#include "store_cache/source_health.h"

namespace mimosa {

/// A host whose cache can be followed.
struct LeaderCandidate {
  std::string Name;
  /// Peer address, "ip:port".
  HostId Address;
  AvailabilityZoneId Zone;
};

/// Selects the host to follow. Performs no I/O; the caller passes the time.
class LeaderSelector {
public:
  LeaderSelector(std::string OwnName, AvailabilityZoneId OwnZone)
      : OwnName(std::move(OwnName)), OwnZone(std::move(OwnZone)) {}

  void setHosts(std::vector<LeaderCandidate> Listed);
  /// The host to follow; empty if this host has to follow the store.
  std::optional<HostId> leader(MonotonicTime Now) const;
  /// The host of another zone to ask if the store fails, too; empty if all have
  /// failed in the last seconds.
  std::optional<HostId> hostOfOtherZone(MonotonicTime Now) const;
  /// Records that \p Leader did not answer or that its cache is stale.
  void recordFailure(const HostId &Leader, MonotonicTime Now);

private:
  /// Whether \p Host has not failed recently.
  bool mayAsk(const HostId &Host, MonotonicTime Now) const;

  std::string OwnName;
  AvailabilityZoneId OwnZone;
  /// Hosts of this host's zone that it may follow, sorted by name. A listed
  /// host follows only hosts whose names sort before its own, so that no two
  /// hosts follow each other.
  std::vector<LeaderCandidate> Candidates;
  /// The first hosts of each other zone by name.
  std::vector<LeaderCandidate> OtherZones;
  std::map<HostId, MonotonicTime> FailedAt;
};

struct RelayOptions {
  /// Speed of this host's link in megabits per second.
  double LinkMbps = 100;
};

/// Counters since the start of the process.
struct RelayCounters {
  uint64_t Replies = 0;
  /// Bytes of the replies, without the frames around them.
  uint64_t Bytes = 0;
  /// Requests dropped because their follower had given up.
  uint64_t Dropped = 0;
};

/// Answers the followers' requests for changes.
class StoreCacheRelay : public PeerHandler {
public:
  StoreCacheRelay(FiberLoop &Loop, const StoreCache &Cache,
                  const SourceHealth &Source, RelayOptions Options = {});

  /// Starts the timer that replies to followers whose wait has ended, and to
  /// all followers if the cache has become stale.
  void start();
  /// Notifies the followers of a change to the cache.
  void cacheChanged() { replyToAll(); }
  /// Notifies the followers of a listing of a newer era.
  void listingReplaced();

  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override;
  const RelayCounters &counters() const { return Counters; }

private:
  struct PendingRequest {
    /// 0 if the follower needs a full listing.
    StoreRevision After;
    /// When the follower's wait for a change ends.
    MonotonicTime Deadline;
    bool AcceptsCompressed = false;
    PeerReplier Reply;
  };

  bool fresh() const;
  /// Discards the compressed replies if the cache has changed.
  void refreshCompressed();
  StoreCacheReply makeReplyFor(const PendingRequest &Request);
  void reply(const PendingRequest &Request);
  /// Replies to \p Request as soon as its turn comes; at once if the reply has
  /// no changes and is therefore short.
  void enqueue(PendingRequest Request);
  void sendQueued();
  void replyToAll();
  void onTimer();
  void logTraffic();

  FiberLoop &Loop;
  const StoreCache &Cache;
  const SourceHealth &Source;
  SendPacer Pacer;
  /// Requests that wait for a change.
  std::vector<PendingRequest> Pending;
  /// Requests to which changes are to be sent, oldest first.
  std::deque<PendingRequest> Queued;
  /// Compressed replies as of CompressedAt, by StoreCacheRequest::After.
  std::map<StoreRevision, StoreCacheReply> Compressed;
  std::pair<StoreEra, StoreRevision> CompressedAt;
  ScopedTimer SendTimer;
  ScopedTimer Timer;
  RelayCounters Counters;
  /// Counters when they were last logged.
  RelayCounters Logged;
  ScopedTimer LogTimer;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_STORE_CACHE_RELAY_H
