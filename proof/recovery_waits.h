// What an entry host waits for after all hosts have stopped at one moment and
// started again with empty memories, with the longest time of each wait. The
// table is a part of docs/fault-matrix.md.

#ifndef MIMOSA_PROOF_RECOVERY_WAITS_H
#define MIMOSA_PROOF_RECOVERY_WAITS_H

#include "base/time.h"

#include <string>
#include <vector>

namespace mimosa {

/// The shortest time that a deployment allows for the recovery of service
/// (recoveryS).
inline constexpr Duration RecoveryTarget = Seconds(12);

/// What is held back during a wait.
enum class HeldBack {
  /// All requests. These waits follow each other.
  Service,
  /// All requests of teams with a quota, after the waits of Service.
  Quotas,
  /// Part of the load, or nothing that callers notice.
  Part,
};

struct RecoveryWait {
  std::string WaitsFor;
  Duration Longest;
  HeldBack Holds = HeldBack::Part;
  /// What happens meanwhile, and what follows the longest time.
  std::string Effect;
};

/// Longest waits with a store that answers.
std::vector<RecoveryWait> recoveryWaits();
/// The sum of the longest waits that hold back \p Holds.
Duration longestTotal(HeldBack Holds);
/// The section of docs/fault-matrix.md.
std::string printRecoveryWaits();

} // namespace mimosa

#endif // MIMOSA_PROOF_RECOVERY_WAITS_H
