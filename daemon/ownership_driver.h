// Drives the Ownership of one service in this host's region: sends and receives
// its frames, reads and writes the voter set in the key-value service, and
// starts and stops the dispatch of partitions.
//
//   OwnershipDriver Driver(Context, Store, Control, Service, SubRequestLimit);
//   Driver.setPlacement(Placement);
//   Driver.setAliveHosts(Hosts);

#ifndef MIMOSA_DAEMON_OWNERSHIP_DRIVER_H
#define MIMOSA_DAEMON_OWNERSHIP_DRIVER_H

#include "daemon/node_context.h"
#include "ownership/ownership.h"
#include "platform/key_value_store.h"

#include <memory>

namespace mimosa {

/// Starts and stops the dispatch of partitions; must not suspend.
class DispatchControl {
public:
  virtual ~DispatchControl() = default;
  virtual void startDispatch(Partition P) = 0;
  /// OwnershipDriver::onDispatchEnded() has to be called once no sub-request of
  /// \p P runs.
  virtual void stopDispatch(Partition P) = 0;
};

/// The placement of a service in this host's region.
struct OwnershipPlacement {
  std::vector<HostId> HostSet;
  std::vector<HostId> VoterCandidates;
  std::vector<PreferredOwner> Preferred;
};

class OwnershipDriver {
public:
  OwnershipDriver(NodeContext &Context, KeyValueStore &Store,
                  DispatchControl &Control, const ServiceId &Service,
                  Duration SubRequestLimit);
  ~OwnershipDriver();

  void setPlacement(const OwnershipPlacement &Placement);
  /// Sets the hosts that are alive.
  void setAliveHosts(const std::vector<HostId> &Hosts);
  void onPause();
  void leave();
  void onDispatchEnded(Partition P);
  /// Handles the frames of ownership; false for any other type.
  bool handleFrame(const PeerFrame &Frame);

  Ownership &state() { return Protocol; }
  const Ownership &state() const { return Protocol; }

private:
  /// Null after the destruction of the driver, for replies of the store that
  /// arrive later.
  using SelfHandle = std::shared_ptr<OwnershipDriver *>;

  void perform(OwnershipActions &Actions);
  void perform(const SendVoteRequest &Action);
  void perform(const SendVoteReply &Action);
  void perform(const SendOwnershipRelease &Action);
  void perform(const ReadVoterSet &Action);
  void perform(const WriteVoterSet &Action);
  void perform(const StartDispatch &Action);
  void perform(const StopDispatch &Action);
  void tick();
  MonotonicTime now() const { return Context.Loop.now(); }

  NodeContext &Context;
  KeyValueStore &Store;
  DispatchControl &Control;
  std::string StoreKey;
  Ownership Protocol;
  std::set<HostId> AliveHosts;
  SelfHandle Self;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_OWNERSHIP_DRIVER_H
