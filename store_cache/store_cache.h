// A copy of the platform store's items, with the last changes, so that a host
// can pass them on to other hosts.
//
//   StoreCache P;
//   P.applyListing(Listing, Revision);       // a whole listing
//   P.applyChange(Item);                      // one change
//   P.changesSince(After);                     // what another host lacks
//
// Revisions are the store's: they count all changes of all items, and mean the
// same at every host.

#ifndef MIMOSA_STORE_CACHE_STORE_CACHE_H
#define MIMOSA_STORE_CACHE_STORE_CACHE_H

#include "base/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// Counts the store's changes; 0 is before the first one.
using StoreRevision = NumberId<struct StoreRevisionTag, uint64_t>;

/// An item, or the news that it was removed.
struct StoreItem {
  std::string Key;
  /// Nothing if the item was removed.
  std::optional<std::string> Value;
  StoreRevision Revision;
};

/// Changes up to a revision.
struct StoreChanges {
  std::vector<StoreItem> Items;
  StoreRevision Revision;
  /// All items are listed: others do not exist.
  bool FullListing = false;
};

class StoreCache {
public:
  /// Takes over one change; false if it is not newer than what is known.
  bool applyChange(const StoreItem &Item);
  /// Takes over a whole listing made at \p At; returns what it changed.
  std::vector<StoreItem> applyListing(const std::vector<StoreItem> &Listing,
                                      StoreRevision At);
  /// All changes up to \p To are known.
  void advanceTo(StoreRevision To) { Revision = std::max(Revision, To); }

  /// Whether there has been a listing.
  bool hasListing() const { return HasListing; }
  StoreRevision revision() const { return Revision; }
  /// What has changed after \p After; everything if that is too long ago.
  StoreChanges changesSince(StoreRevision After) const;

private:
  void log(const StoreItem &Item);

  bool HasListing = false;
  StoreRevision Revision;
  std::map<std::string, StoreItem> Items;
  /// Changes in the order of their arrival; all after LogStart are there.
  std::deque<StoreItem> Log;
  size_t LogBytes = 0;
  StoreRevision LogStart;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_STORE_CACHE_H
