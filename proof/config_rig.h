// Four hosts that follow the configuration in a fake key-value service, and
// operators that change it. It runs ConfigWriter and ConfigHolder with fake
// time. The rig of services uses it for the changes of a zone's state.
//
//   ConfigRig Rig(Break::None);
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
  /// Uses its own record and time.
  explicit ConfigRig(Break Broken);
  /// Uses those of another rig, which must outlive this one. \p First is the
  /// document at the start.
  ConfigRig(Break Broken, Record &Seen, Timeline &Time, Config First);

  /// Runs one change with \p Faults at \p At; false if it never came to \p At.
  bool runChange(Step At, const std::vector<Fault> &Faults);
  /// An operator changes the document through host \p Through, as it is in
  /// force there, and tries again if the change is refused.
  void change(size_t Through, const std::string &ChangeId,
              const std::function<void(Config &)> &Edit);
  void inject(Fault F);

  /// Called when a document comes into force on host 2.
  std::function<void(const Config &)> OnInForce;

private:
  struct Host {
    HostId Id;
    std::unique_ptr<ConfigHolder> Holder;
    std::shared_ptr<const Config> Taken;
    MonotonicTime PausedUntil;
    /// Messages to this host are lost until then.
    MonotonicTime SilentUntil;
  };
  struct Operation {
    size_t Through = 0;
    std::string ChangeId;
    std::function<void(Config &)> Edit;
    /// The document that the operator saw.
    Config Before;
    std::unique_ptr<ConfigWriter> Writer;
  };
  using Done = std::shared_ptr<Operation>;

  void boot();
  void reach(Step S);
  void follow(const Done &Op, WriteStep Next);
  void act(const Done &Op, const ReadStoredConfig &Read);
  void act(const Done &Op, const CompareAndSwapConfig &Write);
  void act(const Done &Op, const ConfigChangeResult &Finished);
  void noteZones(const Config &Old, const Config &New);
  void watch(size_t I);
  void gossip();
  void pull(size_t I, const std::optional<SendConfigPull> &From);
  void offer(size_t I, const Config &Document, ConfigSource Source);
  /// Runs \p Do on host \p I when it is not paused.
  void onHost(size_t I, const std::function<void()> &Do);
  Duration storeDelay() const;

  Break Broken;

public:
  Record OwnRecord;
  Timeline OwnTime;
  Record &Seen;
  Timeline &Time;
  FakeKeyValueStore Store;

private:
  Config First;
  std::vector<Host> Hosts;
  SeededRandom Rand{20261204};
  MonotonicTime StoreSlowUntil;
  std::optional<Step> Wanted;
  std::vector<Fault> Pending;
  bool Reached = false;
  int OtherChanges = 0;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_CONFIG_RIG_H
