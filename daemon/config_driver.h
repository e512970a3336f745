// Keeps this host's active configuration up to date (ConfigHolder) and writes
// changes by operators to the store (ConfigWriter); see docs/design.md, 4.4.
//
//   ConfigDriver Configs(Context, Store, OnChange);
//   Configs.start();
//   Configs.onAnnouncement(Peer, Revision);
//   ConfigChangeResult Outcome = Configs.change(Change);   // suspends

#ifndef MIMOSA_DAEMON_CONFIG_DRIVER_H
#define MIMOSA_DAEMON_CONFIG_DRIVER_H

#include "config/config_holder.h"
#include "config/config_writer.h"
#include "daemon/node_context.h"
#include "platform/key_value_store.h"

namespace mimosa {

class ConfigDriver {
public:
  /// \p OnChange is called after each document that becomes active.
  ConfigDriver(NodeContext &Context, KeyValueStore &Store,
               std::function<void()> OnChange);

  void start();
  const std::shared_ptr<const Config> &config() const {
    return Holder.config();
  }
  Revision revision() const { return Holder.revision(); }
  const ConfigCounters &counters() const { return Holder.counters(); }

  /// \p Peer has announced its active revision.
  void onAnnouncement(const HostId &Peer, Revision Announced);
  /// Sets the live hosts of this host's zone, a few of which watch the document
  /// in the store.
  void setZoneHosts(const std::vector<HostId> &LiveHosts);
  /// The body of the reply to a peer's ConfigPull.
  std::string pullReply(const PeerFrame &Frame) const;

  /// Writes \p Change to the store and applies it on this host; suspends the
  /// calling fiber.
  ConfigChangeResult change(ConfigChange Change);

private:
  void watchLoop();
  bool parseAndApply(const std::string &Text, ConfigSource Source);
  bool applyIfNewer(Config Document, ConfigSource Source);
  void sendPull(const std::optional<SendConfigPull> &Pull);
  void onPullReply(const HostId &Peer, const Result<PeerFrame> &Reply);
  std::optional<Config> parsePullReply(const Result<PeerFrame> &Reply) const;
  WriteStep readStored(ConfigWriter &Writer, const ReadStoredConfig &Step);
  WriteStep writeStored(ConfigWriter &Writer, const CompareAndSwapConfig &Step);

  NodeContext &Context;
  KeyValueStore &Store;
  std::function<void()> OnChange;
  ConfigHolder Holder;
  /// The version that the watch returned last.
  StoreVersion LastSeenVersion;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_CONFIG_DRIVER_H
