// Which member to probe next, and the probes that wait for an answer. Members
// are probed in shuffled order, each once per pass (SWIM, section 4.3), which
// bounds the time in which a member is probed. Members about which claims
// conflict are probed ahead of the order, at most at every second probe.

#ifndef MIMOSA_MEMBERSHIP_PROBER_H
#define MIMOSA_MEMBERSHIP_PROBER_H

#include "base/random.h"
#include "membership/member_table.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mimosa {

/// The order in which this host probes.
class ProbeOrder {
public:
  explicit ProbeOrder(Random &Choices) : Choices(Choices) {}

  /// Adds a new member at a random place of the current pass.
  void add(const HostId &Host);

  /// Has \p Host, dead or not, probed soon.
  void addUrgent(const HostId &Host);

  /// The next host to probe; nothing if there is no other member.
  std::optional<HostId> next(const MemberTable &Table);

private:
  std::optional<HostId> nextUrgent(const MemberTable &Table);

  Random &Choices;
  std::vector<HostId> Order;
  size_t Position = 0;
  std::deque<HostId> Urgent;
  bool LastWasUrgent = false;
};

/// The host that asked for an indirect probe.
struct ProbeOrigin {
  HostId Host;
  uint64_t Sequence = 0;
};

/// A probe without an answer.
struct PendingProbe {
  uint64_t Sequence = 0;
  HostId Target;
  /// Empty if this host probes on its own behalf.
  std::optional<ProbeOrigin> Origin;
  MonotonicTime Deadline;
  bool Indirect = false;
};

/// The probes that wait for an answer.
class PendingProbes {
public:
  PendingProbes(Duration DirectTimeout, Duration IndirectTimeout)
      : DirectTimeout(DirectTimeout), IndirectTimeout(IndirectTimeout) {}

  /// Adds a probe and returns its sequence number.
  uint64_t add(const HostId &Target, std::optional<ProbeOrigin> Origin,
               MonotonicTime Now);

  /// Ends the probe that \p Target answered, if it is known.
  std::optional<PendingProbe> onReply(uint64_t Sequence, const HostId &Target);

  /// Ends the waiting time of a direct probe of \p Target; false if there is
  /// none.
  bool expireDirect(const HostId &Target, MonotonicTime Now);

  /// The probes that must now go through other members; they wait on.
  std::vector<PendingProbe> takeIndirect(MonotonicTime Now);

  /// Ends the probes that failed and returns those on this host's own behalf.
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
