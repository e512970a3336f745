// Queue of the sub-requests of one backend server, in two classes. Interactive
// is served before batch, except that every 20th start goes to batch if any is
// waiting (5%).
//
// Sub-requests are stored in a table and linked by index, so that a cancelled
// one leaves the queue in constant time and no start allocates memory.

#ifndef MIMOSA_DISPATCH_CLASS_QUEUE_H
#define MIMOSA_DISPATCH_CLASS_QUEUE_H

#include "dispatch/sub_request.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// Index of a sub-request in its scheduler's table.
using WorkIndex = uint32_t;
constexpr WorkIndex NoWork = UINT32_MAX;

/// A sub-request from its arrival until its slot is free again.
struct Work {
  enum class State : uint8_t {
    Free,
    Queued,
    Running,
    /// Sent and lost; it holds its slot because it may still run.
    Lingering,
  };
  State Stage = State::Free;
  /// The reply to the root was given.
  bool Replied = false;
  /// A cancel is waiting for a connection or was sent.
  bool Cancelling = false;
  SubRequest Request;
  DispatchId Id;
  MonotonicTime SentAt;
  WorkIndex Previous = NoWork;
  WorkIndex Next = NoWork;
};

class ClassQueue {
public:
  /// Stores and queues \p Request; NoWork if its key is already stored.
  WorkIndex push(SubRequest Request);
  /// Takes the next one to start out of the queue (Running); NoWork if empty.
  WorkIndex pop();
  /// Takes a queued one out of the queue.
  void unlink(WorkIndex Index);
  /// Frees the entry; it must not be queued.
  void release(WorkIndex Index);
  /// Forgets the key of an entry, which can then be stored again.
  void forgetKey(WorkIndex Index);

  /// The entry with \p Key, NoWork if there is none.
  WorkIndex find(const SubRequestKey &Key) const;
  Work &operator[](WorkIndex Index) { return Table[Index]; }
  const Work &operator[](WorkIndex Index) const { return Table[Index]; }

  /// First queued entry of \p Class; follow Work::Next.
  WorkIndex first(SubRequestClass Class) const;
  uint32_t length(SubRequestClass Class) const;
  uint32_t length() const { return Lists[0].Length + Lists[1].Length; }
  /// Number of queued sub-requests that start before a new one of \p Class.
  uint32_t ahead(SubRequestClass Class) const;

private:
  struct List {
    WorkIndex First = NoWork;
    WorkIndex Last = NoWork;
    uint32_t Length = 0;
  };
  List &list(SubRequestClass Class) { return Lists[size_t(Class)]; }

  std::vector<Work> Table;
  std::vector<WorkIndex> FreeList;
  std::array<List, 2> Lists;
  std::unordered_map<SubRequestKey, WorkIndex, SubRequestKeyHash> Keys;
  /// Starts of interactive sub-requests since the last batch one.
  uint32_t SinceBatch = 0;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_CLASS_QUEUE_H
