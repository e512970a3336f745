// Chooses the entry hosts that serve callers (the serving set).
//
// A few strong hosts serve better than many weak ones. Each sees more answers
// and so detects slow backend servers sooner. The retry budget and the
// connections of a backend server are divided among the serving hosts, so that
// each share stays above one. And a query over dozens of shards takes a weak
// host's processor a large part of the latency target. So the set consists of a
// few hosts, the strongest of each zone in turn, and grows while hosts report
// that they are busy. In a small deployment all hosts serve.
//
// Capacity is counted, not hosts: weak hosts are left out as long as the strong
// ones have enough of it. Otherwise the callers who are sent to a weak host are
// served later than the others, and the shares of the others become smaller.

#ifndef MIMOSA_PLACEMENT_SERVING_SET_H
#define MIMOSA_PLACEMENT_SERVING_SET_H

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mimosa {

/// A host that can be in the serving set.
struct ServingCandidate {
  std::string Name;
  AvailabilityZoneId Zone;
  /// Processor cores that the host may use.
  double Capacity = 1;
  /// True if the host uses a large part of them.
  bool Busy = false;
};

struct ServingSetOptions {
  /// Hosts that serve while none is busy. With 16 hosts, each gets four of a
  /// backend server's 72 connections, and at least 12 remain after the loss of
  /// one of five zones.
  size_t MinHosts = 16;
  /// A host with less than this share of the strongest host's capacity is weak.
  double WeakShare = 0.5;
  /// Weak hosts do not serve while at least so many strong ones do, in each
  /// zone that has hosts, and these have at least so many cores. Six hosts lose
  /// a sixth of their callers with one of them. Two cores run 800 queries a
  /// second to 36 shards each.
  size_t MinStrongHosts = 6;
  double MinStrongCapacity = 2;
  size_t ExtraHostsPerBusyHost = 2;
};

/// Indexes in \p Candidates of the hosts that serve. The set does not depend on
/// the order of \p Candidates, so that hosts with equal views agree.
std::vector<size_t> servingSet(const std::vector<ServingCandidate> &Candidates,
                               const ServingSetOptions &Options = {});

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_SERVING_SET_H
