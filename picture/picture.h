// A copy of the platform store's items, with the last changes, so that a host
// can pass them on to other hosts.
//
//   Picture P;
//   P.replace(Listing, Revision);       // a whole listing
//   P.apply(Item);                      // one change
//   P.since(After);                     // what another host lacks
//
// Revisions are the store's: they count all changes of all items, and mean the
// same at every host.

#ifndef MIMOSA_PICTURE_PICTURE_H
#define MIMOSA_PICTURE_PICTURE_H

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
  StoreRevision Changed;
};

/// Changes up to a revision.
struct PictureChanges {
  std::vector<StoreItem> Items;
  StoreRevision Upto;
  /// All items are listed: others do not exist.
  bool Whole = false;
};

class Picture {
public:
  /// Takes over one change; false if it is not newer than what is known.
  bool apply(const StoreItem &Item);
  /// Takes over a whole listing made at \p At; returns what it changed.
  std::vector<StoreItem> replace(const std::vector<StoreItem> &Listing,
                                 StoreRevision At);
  /// All changes up to \p To are known.
  void advance(StoreRevision To) { Known = std::max(Known, To); }

  /// Whether there has been a listing.
  bool listed() const { return Listed; }
  StoreRevision revision() const { return Known; }
  /// What has changed after \p After; everything if that is too long ago.
  PictureChanges since(StoreRevision After) const;

private:
  void log(const StoreItem &Item);

  bool Listed = false;
  StoreRevision Known;
  std::map<std::string, StoreItem> Items;
  /// Changes in the order of their arrival; all after LogBegin are there.
  std::deque<StoreItem> Log;
  size_t LogBytes = 0;
  StoreRevision LogBegin;
};

} // namespace mimosa

#endif // MIMOSA_PICTURE_PICTURE_H
