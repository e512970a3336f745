// A host's cache of the items in the platform's store. It also keeps a log of
// recent changes, from which other hosts update their caches.
//
//   StoreCache Cache;
//   Cache.applyListing(Items, Revision);   // all items of the store
//   Cache.applyChange(Item);               // one later change
//   Cache.advanceTo(Revision);             // no change up to it is missing
//   Cache.changesSince(Revision);          // the update for another host
//
// The pages of a listing are read one after another, so that it may hold items
// that changed after its revision while others that changed before them are
// missing. The revision of an item therefore says nothing about other items:
// only the source of the changes knows up to which revision they are complete.
//
// The store assigns revisions: it counts all changes to all items. Revisions
// from different hosts can therefore be compared.

#ifndef MIMOSA_STORE_CACHE_STORE_CACHE_H
#define MIMOSA_STORE_CACHE_STORE_CACHE_H

#include "base/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// Number of a change in the store; 0 is before the first change.
using StoreRevision = NumberId<struct StoreRevisionTag, uint64_t>;

/// A stored item, or its removal.
struct StoreItem {
  std::string Key;
  /// Empty if the item was removed.
  std::optional<std::string> Value;
  /// Revision of the last change to the item.
  StoreRevision Revision;
};

/// An update of a cache: changes to items, or all items.
struct StoreChanges {
  std::vector<StoreItem> Items;
  /// All changes up to this revision are included.
  StoreRevision Revision;
  /// Items is a full listing of the store: other items do not exist.
  bool FullListing = false;
};

class StoreCache {
public:
  /// Applies one change; false if it is not newer than the cached item.
  /// revision() stays as it is.
  bool applyChange(const StoreItem &Item);
  /// Applies a full listing of the store. All changes up to \p ListingRevision,
  /// which is that of its first page, are included, and perhaps some later
  /// ones. Returns the items that changed in this cache.
  std::vector<StoreItem> applyListing(const std::vector<StoreItem> &Listing,
                                      StoreRevision ListingRevision);
  /// Records that all changes up to \p To have been applied.
  void advanceTo(StoreRevision To) { Revision = std::max(Revision, To); }

  /// Whether a full listing has been applied.
  bool hasListing() const { return HasListing; }
  /// All changes up to this revision have been applied.
  StoreRevision revision() const { return Revision; }
  /// Changes after \p After; a full listing if the log does not reach back to
  /// that revision.
  StoreChanges changesSince(StoreRevision After) const;

private:
  void appendToLog(const StoreItem &Item);

  bool HasListing = false;
  StoreRevision Revision;
  std::map<std::string, StoreItem> Items;
  /// All changes after LogStart up to Revision, and perhaps some later ones, in
  /// order of arrival.
  std::deque<StoreItem> Log;
  size_t LogBytes = 0;
  StoreRevision LogStart;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_STORE_CACHE_H
