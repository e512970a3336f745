// Chooses the entry hosts that callers are sent to.
//
// Few strong hosts serve better than many weak ones: each sees more answers, so
// that it knows slow backend servers sooner; its share of the joint retry
// budget and of the connections is larger than one; and a query over dozens of
// shards costs the processor of a weak host a good part of its target. So
// callers are sent to a few hosts, the strongest of each zone in turn, and to
// more of them as hosts report that they are busy. Where there are few hosts
// all of them serve.

#ifndef MIMOSA_PLACEMENT_SERVING_SET_H
#define MIMOSA_PLACEMENT_SERVING_SET_H

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mimosa {

/// A host that could serve.
struct ServingCandidate {
  std::string Name;
  AvailabilityZoneId Zone;
  /// Cores that it may use.
  double Capacity = 1;
  /// It uses a large part of them.
  bool Busy = false;
};

struct ServingSetOptions {
  /// Hosts that serve while none is busy. With 16, the loss of a zone of five
  /// leaves 12, and each has four of a backend server's 72 connections.
  size_t LeastHosts = 16;
  /// Further hosts for each busy one.
  size_t HostsPerBusy = 2;
};

/// Positions in \p Candidates of the hosts that serve. The same list gives the
/// same set at every host, in any order of the list.
std::vector<size_t> servingSet(const std::vector<ServingCandidate> &Candidates,
                               const ServingSetOptions &Options = {});

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_SERVING_SET_H
