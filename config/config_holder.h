// Holds the active configuration of this host (docs/design.md, 4.4). Documents
// arrive from the store, from a watch or from a peer, late and in any order.
// The holder applies only those of a higher revision.
//
//   ConfigHolder Holder(Self, Zone);
//   Holder.applyIfNewer(std::move(Document), ConfigSource::Watch);
//   // On each message from a peer, which carries the peer's revision:
//   if (auto Pull = Holder.onAnnouncement(Peer, PeerRevision, Now))
//     send ConfigPull to Pull->Peer; pass its reply to onPullReply()
//   // Every 100 ms:
//   if (auto Pull = Holder.onTick(Now)) ...
//
// Only one pull is in progress at a time. If it fails or times out, the next
// one goes to another peer that announced a higher revision.

#ifndef MIMOSA_CONFIG_CONFIG_HOLDER_H
#define MIMOSA_CONFIG_CONFIG_HOLDER_H

#include "config/config.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace mimosa {

/// How a document was received.
enum class ConfigSource { Store, Watch, Peer };

/// An action of the driver: send a ConfigPull to \c Peer.
struct SendConfigPull {
  HostId Peer;
};

struct ConfigHolderOptions {
  /// Time after which a pull fails and another peer is tried. A document
  /// of 1 MB takes 80 ms on a 100 Mbit/s link; the rest allows for a busy peer.
  Duration PullTimeout = Milliseconds(1000);
  /// Time for which no pull is sent to a peer after one to it has failed.
  Duration PeerRetryDelay = Milliseconds(2000);
  /// Number of peers to keep as sources of a higher revision.
  size_t MaxSources = 8;
};

/// Counters since the start of the process.
struct ConfigCounters {
  /// Documents applied, by ConfigSource.
  std::array<uint64_t, 3> Applied{};
  /// Documents ignored because their revision is below the active one.
  uint64_t Outdated = 0;
  /// Documents of the active revision; the watch and peers repeat them.
  uint64_t Duplicates = 0;
  uint64_t Pulls = 0;
  uint64_t FailedPulls = 0;
};

/// Hosts per availability zone that watch the document in the store.
inline constexpr size_t WatchersPerZone = 2;

/// Holds the active document and decides from which peer to pull a newer one.
class ConfigHolder {
public:
  ConfigHolder(HostId Self, AvailabilityZoneId Zone,
               ConfigHolderOptions Options = {});

  /// The active document, of revision 0 before the first one. Never null.
  const std::shared_ptr<const Config> &config() const { return Current; }
  Revision revision() const { return Current->ConfigRevision; }

  /// Makes \p Document active if its revision is above the active one; returns
  /// whether it did.
  bool applyIfNewer(Config Document, ConfigSource Source);

  /// \p Peer announced that its active revision is \p Announced. Returns the
  /// pull to start, if any.
  std::optional<SendConfigPull>
  onAnnouncement(const HostId &Peer, Revision Announced, MonotonicTime Now);

  /// Ends the pull from \p Peer. \p Document is empty if the pull failed, the
  /// peer had no newer document or the document could not be parsed. Returns
  /// the next pull to start, if any.
  std::optional<SendConfigPull> onPullReply(const HostId &Peer,
                                            std::optional<Config> Document,
                                            MonotonicTime Now);

  /// Ends a pull that has timed out. Returns the next pull to start, if any.
  std::optional<SendConfigPull> onTick(MonotonicTime Now);

  /// Sets the live hosts of this host's availability zone; the list may contain
  /// this host itself.
  void setZoneHosts(const std::vector<HostId> &LiveHosts);

  /// True if this host has to watch the document in the store: the
  /// WatchersPerZone hosts of a zone with the highest rendezvous weights do.
  bool isWatcher() const { return Watcher; }

  const ConfigCounters &counters() const { return Counters; }

private:
  struct PullSource {
    HostId Peer;
    Revision Announced;
    MonotonicTime RetryAt;
    /// False from a failed pull until the peer's next announcement, so that
    /// a dead peer is not tried forever.
    bool Eligible = true;
  };
  struct PendingPull {
    HostId Peer;
    MonotonicTime Deadline;
  };

  std::optional<SendConfigPull> startPull(MonotonicTime Now);
  void failPull(MonotonicTime Now);
  void recordSource(const HostId &Peer, Revision Announced);
  PullSource *replaceableSource(Revision Announced);
  void removeOutdatedSources();

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
