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
// from different hosts can therefore be compared, but only within one era: when
// the store is restored from an older copy, its era rises and revisions are
// reused. A listing of a newer era replaces the cache, one of an older era is
// ignored.

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

/// Number of the restores of the store from an older copy; 0 if the store does
/// not state it.
using StoreEra = NumberId<struct StoreEraTag, uint64_t>;

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
  /// The era of all revisions.
  StoreEra Era;
  /// Items is a full listing of the store: other items do not exist.
  bool FullListing = false;
};

class StoreCache {
public:
  /// Applies one change of era(); false if it is not newer than the cached
  /// item. revision() stays as it is.
  bool applyChange(const StoreItem &Item);
  /// Applies a full listing of the store. All changes up to \p ListingRevision,
  /// which is that of its first page, are included, and perhaps some later
  /// ones. Returns the items that changed in this cache; if \p ListingEra is
  /// newer than era(), those whose values changed or that are missing.
  std::vector<StoreItem> applyListing(const std::vector<StoreItem> &Listing,
                                      StoreRevision ListingRevision,
                                      StoreEra ListingEra = StoreEra());
  /// Records that all changes up to \p To have been applied.
  void advanceTo(StoreRevision To) { Revision = std::max(Revision, To); }

  bool contains(const std::string &Key) const { return Items.count(Key) > 0; }
  /// Whether a full listing has been applied.
  bool hasListing() const { return HasListing; }
  /// All changes up to this revision have been applied.
  StoreRevision revision() const { return Revision; }
  /// The era of the last listing that was applied.
  StoreEra era() const { return Era; }
  /// Changes after \p After of era(); a full listing if the log does not reach
  /// back to that revision.
  StoreChanges changesSince(StoreRevision After) const;

private:
  void appendToLog(const StoreItem &Item);
  /// Replaces the cache by a listing of a newer era.
  std::vector<StoreItem> replaceBy(const std::vector<StoreItem> &Listing,
                                   StoreRevision ListingRevision);

  bool HasListing = false;
  StoreEra Era;
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
