// Keeps the configuration in force on this host up to date and carries out
// changes by operators; see docs/design.md, 4.4.
//
//   ConfigDriver Configs(Context, Store, OnChange);
//   Configs.start();
//   Configs.onAnnouncement(Peer, Revision);
//   Configs.change(Change, Finished);

#ifndef MIMOSA_DAEMON_CONFIG_DRIVER_H
#define MIMOSA_DAEMON_CONFIG_DRIVER_H

#include "config/config_holder.h"
#include "config/config_writer.h"
#include "daemon/node_context.h"
#include "platform/key_value_store.h"

namespace mimosa {

class ConfigDriver {
public:
  /// \p OnChange is called after each document that comes into force.
  ConfigDriver(NodeContext &Context, KeyValueStore &Store,
               std::function<void()> OnChange);

  void start();
  const std::shared_ptr<const Config> &config() const {
    return Holder.config();
  }
  Revision revision() const { return Holder.revision(); }
  const ConfigCounters &counters() const { return Holder.counters(); }

  /// \p Peer has a revision above this host's.
  void onAnnouncement(const HostId &Peer, Revision Announced);
  /// Live hosts of this host's zone, which decide who holds a watch.
  void setZoneHosts(const std::vector<HostId> &LiveHosts);
  /// The answer to a peer's ConfigPull.
  std::string pullReply(const PeerFrame &Frame) const;

  /// Carries out \p Change; suspends the calling fiber.
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
  /// Version of the stored value that this host has seen last.
  StoreVersion SeenVersion;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_CONFIG_DRIVER_H
