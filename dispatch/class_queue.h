// The sub-requests of one backend server and their queue, which has two
// classes. Interactive sub-requests are served before batch, but while both
// wait every 20th start (5%) goes to batch.
//
// Sub-requests are stored in a table from push() until release(), also while
// they run. The queued ones are linked by index, so that a cancelled one leaves
// the queue in constant time and starting one allocates no memory.

#ifndef MIMOSA_DISPATCH_CLASS_QUEUE_H
#define MIMOSA_DISPATCH_CLASS_QUEUE_H

#include "dispatch/sub_request.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// Index of a sub-request in the table of a ClassQueue.
using EntryIndex = uint32_t;
constexpr EntryIndex NoEntry = UINT32_MAX;

/// A sub-request from its arrival until its slot is released.
struct SubRequestEntry {
  enum class State : uint8_t {
    Free,
    Queued,
    Running,
    /// Sent, and its connection is lost. It holds its slot because it may
    /// still run.
    Detached,
  };
  State Stage = State::Free;
  /// The result for the root was passed to the driver.
  bool Replied = false;
  /// A cancel was sent, or waits for an idle connection.
  bool CancelRequested = false;
  SubRequest Request;
  DispatchId Id;
  MonotonicTime SentAt;
  EntryIndex Previous = NoEntry;
  EntryIndex Next = NoEntry;
};

/// See the head of this file.
class ClassQueue {
public:
  /// Stores and queues \p Request. Returns NoEntry if its key is already
  /// stored.
  EntryIndex push(SubRequest Request);
  /// Takes the next sub-request out of the queue and marks it Running. Returns
  /// NoEntry if the queue is empty.
  EntryIndex pop();
  /// Takes a queued sub-request out of the queue.
  void unlink(EntryIndex Index);
  /// Frees the entry; it must not be queued.
  void release(EntryIndex Index);
  /// Removes the key of an entry, so that push() accepts the key again.
  void removeKey(EntryIndex Index);

  /// The entry with \p Key, NoEntry if there is none.
  EntryIndex find(const SubRequestKey &Key) const;
  SubRequestEntry &operator[](EntryIndex Index) { return Table[Index]; }
  const SubRequestEntry &operator[](EntryIndex Index) const {
    return Table[Index];
  }

  /// First queued entry of \p Class; SubRequestEntry::Next links the others.
  EntryIndex first(SubRequestClass Class) const;
  uint32_t length(SubRequestClass Class) const;
  uint32_t length() const { return Lists[0].Length + Lists[1].Length; }
  /// Number of queued sub-requests ahead of a new one of \p Class.
  uint32_t ahead(SubRequestClass Class) const;

private:
  struct List {
    EntryIndex First = NoEntry;
    EntryIndex Last = NoEntry;
    uint32_t Length = 0;
  };
  List &list(SubRequestClass Class) { return Lists[size_t(Class)]; }

  std::vector<SubRequestEntry> Table;
  std::vector<EntryIndex> FreeList;
  std::array<List, 2> Lists;
  std::unordered_map<SubRequestKey, EntryIndex, SubRequestKeyHash> Keys;
  /// Interactive starts since the last batch start.
  uint32_t StartsSinceBatch = 0;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_CLASS_QUEUE_H
