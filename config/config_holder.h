// The configuration in force on this host (docs/design.md, 4.4). Documents
// arrive from the store, from a watch or from a peer, late and in any order;
// the holder only moves to a higher revision.
//
//   ConfigHolder Holder(Self, Zone);
//   Holder.applyIfNewer(std::move(Document), ConfigSource::Watch);
//   // On each message of a peer, which carries the peer's revision:
//   if (auto Pull = Holder.onAnnouncement(Peer, PeerRevision, Now))
//     send ConfigPull to Pull->Peer; its document goes to onPullReply()
//   // Every 100 ms:
//   if (auto Pull = Holder.onTick(Now)) ...
//
// One pull is under way at a time. If it fails or times out, the next peer that
// announced a higher revision is asked.

#ifndef MIMOSA_CONFIG_CONFIG_HOLDER_H
#define MIMOSA_CONFIG_CONFIG_HOLDER_H

#include "config/config.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace mimosa {

/// Where a document came from.
enum class ConfigSource { Store, Watch, Peer };

/// Asks the driver to send a ConfigPull to \c Peer.
struct SendConfigPull {
  HostId Peer;
};

struct ConfigHolderOptions {
  /// Time after which another peer is asked. A document of 1 MB takes 80 ms on
  /// a 100 Mbit/s link; the rest is for a busy sender.
  Duration PullTimeout = Milliseconds(1000);
  /// Time for which a peer that failed to deliver is not asked again.
  Duration PeerRetryDelay = Milliseconds(2000);
  /// Peers remembered as sources of a higher revision.
  size_t MaxSources = 8;
};

/// Counters since the start of the process.
struct ConfigCounters {
  /// Documents put in force, by ConfigSource.
  std::array<uint64_t, 3> Adopted{};
  /// Documents of a revision below the one in force.
  uint64_t RefusedOld = 0;
  /// Documents of the revision in force; a watch and peers repeat them.
  uint64_t Repeated = 0;
  uint64_t Pulls = 0;
  uint64_t FailedPulls = 0;
};

/// Hosts per availability zone that hold a watch on the document.
inline constexpr size_t WatchersPerZone = 2;

/// Holds the revision in force and decides how to reach a higher one.
class ConfigHolder {
public:
  ConfigHolder(HostId Self, AvailabilityZoneId Zone,
               ConfigHolderOptions Options = {});

  /// The document in force; revision 0 before the first one. Never null.
  const std::shared_ptr<const Config> &config() const { return Current; }
  Revision revision() const { return Current->ConfigRevision; }

  /// Takes \p Document if its revision is above the one in force; false if it
  /// is refused.
  bool applyIfNewer(Config Document, ConfigSource Source);

  /// Notes that \p Peer has \p Announced. Returns the pull to start, if any.
  std::optional<SendConfigPull>
  onAnnouncement(const HostId &Peer, Revision Announced, MonotonicTime Now);

  /// Ends the pull from \p Peer with its document; nothing if the peer had none
  /// or it could not be parsed. Returns the next pull to start, if any.
  std::optional<SendConfigPull> onPullReply(const HostId &Peer,
                                            std::optional<Config> Document,
                                            MonotonicTime Now);

  /// Ends a pull that took too long. Returns the next pull to start, if any.
  std::optional<SendConfigPull> onTick(MonotonicTime Now);

  /// Sets the live hosts of this host's availability zone, itself included or
  /// not.
  void setZoneHosts(const std::vector<HostId> &LiveHosts);

  /// True if this host is one of the WatchersPerZone hosts of its zone that
  /// hold a watch: those with the highest rendezvous weight.
  bool isWatcher() const { return Watcher; }

  const ConfigCounters &counters() const { return Counters; }

private:
  struct PullSource {
    HostId Peer;
    Revision Announced;
    MonotonicTime NotBefore;
    /// False from a failed pull to the peer's next announcement, so that a dead
    /// peer is not asked for ever.
    bool Answers = true;
  };
  struct PendingPull {
    HostId Peer;
    MonotonicTime Deadline;
  };

  std::optional<SendConfigPull> startPull(MonotonicTime Now);
  void failPull(MonotonicTime Now);
  void rememberSource(const HostId &Peer, Revision Announced);
  PullSource *replaceableSource(Revision Announced);
  void dropUselessSources();

  HostId Self;
  AvailabilityZoneId Zone;
  ConfigHolderOptions Options;
  std::shared_ptr<const Config> Current;
  std::vector<PullSource> Sources;
  std::optional<PendingPull> Pending;
  bool Watcher = true;
  ConfigCounters Counters;
};

} // namespace mimosa

#endif // MIMOSA_CONFIG_CONFIG_HOLDER_H
