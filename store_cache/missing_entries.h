// Decides when an entry that is missing in the store counts as removed.
//
// During an outage of the store, entries of running servers expire. They are
// written again within RewriteTime of the end of the outage. An entry that goes
// missing until then may be one of these, and counts as removed only if it is
// still missing at the end of that time; later, it counts as removed at once.
//
//   MissingEntries Missing;
//   if (Missing.recordMissing(Id, Source, Now))
//     ...                                  // removed
//   Missing.recordPresent(Id);
//   Missing.takeRemoved(Source);           // after each call to the source
//   Missing.nextCallWithin(Source, Now);   // limits the wait of the next call
//
// A server that has left may get no request some 3 s after its removal. The
// time therefore runs from when the store answered again, and not from when the
// entry was found to be missing, and short failures in quick succession do not
// extend it. A later outage does, since it keeps servers from writing.
//
// Performs no I/O; the caller passes the time.

#ifndef MIMOSA_STORE_CACHE_MISSING_ENTRIES_H
#define MIMOSA_STORE_CACHE_MISSING_ENTRIES_H

#include "store_cache/source_health.h"

#include <map>
#include <string>
#include <vector>

namespace mimosa {

class MissingEntries {
public:
  /// Running servers write their expired entries again within this time.
  static constexpr Duration RewriteTime = Milliseconds(2000);

  /// Records that the entry \p Id is missing. Returns whether it counts as
  /// removed at once.
  bool recordMissing(const std::string &Id, const SourceHealth &Source,
                     MonotonicTime Now);
  void recordPresent(const std::string &Id) { RemovedAt.erase(Id); }

  /// Returns the entries that count as removed and forgets them. Only what the
  /// source is known to hold counts: an entry that was missing before a failure
  /// may have been written again meanwhile.
  std::vector<std::string> takeRemoved(const SourceHealth &Source);
  bool empty() const { return RemovedAt.empty(); }
  /// After which time the source has to be called again, so that the next entry
  /// is removed in time; empty if none is missing.
  std::optional<Duration> nextCallWithin(const SourceHealth &Source,
                                         MonotonicTime Now) const;
  /// Whether a removal waits for a source that is not up to date, for so long
  /// that it has to be confirmed elsewhere.
  bool overdue(const SourceHealth &Source, MonotonicTime Now) const;

private:
  static MonotonicTime delayed(MonotonicTime At, const SourceHealth &Source);
  std::optional<MonotonicTime> nextRemovalAt(const SourceHealth &Source) const;

  /// Missing entries, and when each counts as removed.
  std::map<std::string, MonotonicTime> RemovedAt;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_MISSING_ENTRIES_H
