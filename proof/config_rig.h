// A simulation of four hosts that follow the configuration document in a fake
// key-value service, and of operators that change it. It runs ConfigWriter and
// ConfigHolder in simulated time. ServiceRig uses it to change a zone's state.
//
//   ConfigRig Rig(InjectedBug::None);
//   Rig.change(0, "operator-a/1", [](Config &C) { C.Services.clear(); });
//   Rig.Time.run(Seconds(8));

#ifndef MIMOSA_PROOF_CONFIG_RIG_H
#define MIMOSA_PROOF_CONFIG_RIG_H

#include "base/random.h"
#include "config/config_holder.h"
#include "config/config_writer.h"
#include "platform/fake_key_value_store_test_util.h"
#include "proof/fault_matrix.h"

#include <memory>

namespace mimosa {

class ConfigRig {
public:
  /// Uses its own event log and time.
  explicit ConfigRig(InjectedBug Bug);
  /// Uses the event log and the time of another rig, which must outlive this
  /// one. \p First is the initial document.
  ConfigRig(InjectedBug Bug, EventLog &Log, Timeline &Time, Config First);

  /// Runs one configuration change and injects \p Faults at step \p At. Returns
  /// false if the run did not reach \p At.
  bool runChange(Step At, const std::vector<Fault> &Faults);
  /// An operator edits the active document of host \p ThroughHost and submits
  /// it there, and retries with the then active document if it is rejected.
  void change(size_t ThroughHost, const std::string &ChangeId,
              const std::function<void(Config &)> &Edit);
  void inject(Fault F);

  /// Called when host 2 applies a document.
  std::function<void(const Config &)> OnConfigApplied;

private:
  struct Host {
    HostId Id;
    std::unique_ptr<ConfigHolder> Holder;
    std::shared_ptr<const Config> ActiveConfig;
    MonotonicTime PausedUntil;
    /// Until then, messages to this host are lost.
    MonotonicTime MessagesLostUntil;
  };
  struct Operation {
    size_t ThroughHost = 0;
    std::string ChangeId;
    std::function<void(Config &)> Edit;
    /// The document before the edit.
    Config Before;
    std::unique_ptr<ConfigWriter> Writer;
  };
  using OperationPtr = std::shared_ptr<Operation>;

  void start();
  /// Injects the faults of the run if they start at \p S.
  void reachStep(Step S);
  void performStep(const OperationPtr &Op, WriteStep Next);
  void perform(const OperationPtr &Op, const ReadStoredConfig &Read);
  void perform(const OperationPtr &Op, const CompareAndSwapConfig &Write);
  void perform(const OperationPtr &Op, const ConfigChangeResult &Finished);
  void recordZoneChanges(const Config &Old, const Config &New);
  void startWatch(size_t I);
  void gossip();
  void performPull(size_t I, const std::optional<SendConfigPull> &From);
  void applyIfNewer(size_t I, const Config &Document, ConfigSource Source);
  /// Runs \p Callback on host \p I, after the end of its pause if it is paused.
  void onHost(size_t I, const std::function<void()> &Callback);
  Duration storeDelay() const;

  InjectedBug Bug;

public:
  EventLog OwnLog;
  Timeline OwnTime;
  EventLog &Log;
  Timeline &Time;
  FakeKeyValueStore Store;

private:
  Config First;
  std::vector<Host> Hosts;
  SeededRandom Rand{20261204};
  MonotonicTime StoreSlowUntil;
  std::optional<Step> TargetStep;
  std::vector<Fault> PendingFaults;
  bool StepReached = false;
  int SecondOperatorChanges = 0;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_CONFIG_RIG_H
