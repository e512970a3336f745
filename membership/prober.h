// Which member to probe next, and the probes that await a reply. Members are
// probed in random order, each once per pass (SWIM, section 4.3), which bounds
// the time until a member is probed. Members with conflicting updates are
// probed ahead of that order, but at most with every second probe.

#ifndef MIMOSA_MEMBERSHIP_PROBER_H
#define MIMOSA_MEMBERSHIP_PROBER_H

#include "base/random.h"
#include "membership/member_table.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mimosa {

/// The order in which this host probes the members.
class ProbeOrder {
public:
  explicit ProbeOrder(Random &Rand) : Rand(Rand) {}

  /// Adds a new member at a random position of the rest of this pass.
  void add(const HostId &Host);

  /// Adds \p Host, dead or not, to those that are probed ahead of the order.
  void addUrgent(const HostId &Host);

  /// The next host to probe; empty if there is no other member.
  std::optional<HostId> next(const MemberTable &Table);

private:
  std::optional<HostId> nextUrgent(const MemberTable &Table);

  Random &Rand;
  std::vector<HostId> Order;
  size_t Position = 0;
  std::deque<HostId> Urgent;
  bool LastWasUrgent = false;
};

/// The host that sent an IndirectProbe, and its sequence number there.
struct ProbeOrigin {
  HostId Host;
  uint64_t Sequence = 0;
};

/// A probe that awaits its reply.
struct PendingProbe {
  uint64_t Sequence = 0;
  HostId Target;
  /// Empty if this host probes on its own behalf.
  std::optional<ProbeOrigin> Origin;
  MonotonicTime Deadline;
  bool IsIndirect = false;
};

/// The probes that await a reply.
class PendingProbes {
public:
  PendingProbes(Duration DirectTimeout, Duration IndirectTimeout)
      : DirectTimeout(DirectTimeout), IndirectTimeout(IndirectTimeout) {}

  /// Adds a probe and returns its sequence number.
  uint64_t add(const HostId &Target, std::optional<ProbeOrigin> Origin,
               MonotonicTime Now);

  /// Removes and returns the probe that \p Target answered, if it is pending.
  std::optional<PendingProbe> onReply(uint64_t Sequence, const HostId &Target);

  /// Lets a direct probe of \p Target time out at \p Now; false if none is
  /// pending.
  bool expireDirect(const HostId &Target, MonotonicTime Now);

  /// The direct probes that timed out and have to go through other members now.
  /// They stay pending.
  std::vector<PendingProbe> takeIndirect(MonotonicTime Now);

  /// Removes the probes that failed, and returns those on this host's own
  /// behalf.
  std::vector<PendingProbe> takeFailed(MonotonicTime Now);

  void clear() { Probes.clear(); }

private:
  Duration DirectTimeout;
  Duration IndirectTimeout;
  std::map<uint64_t, PendingProbe> Probes;
  uint64_t LastSequence = 0;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_PROBER_H
