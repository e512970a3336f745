#include "dispatch/class_queue.h"

namespace mimosa {
namespace {

/// Interactive starts before a batch start while both classes wait, so that
/// batch gets one start in 20 (5%).
constexpr uint32_t InteractivePerBatch = 19;

} // namespace

EntryIndex ClassQueue::push(SubRequest Request) {
  EntryIndex Index = FreeList.empty() ? static_cast<EntryIndex>(Table.size())
                                      : FreeList.back();
  if (!Keys.try_emplace(Request.Key, Index).second)
    return NoEntry;
  if (FreeList.empty())
    Table.emplace_back();
  else
    FreeList.pop_back();
  List &Queue = list(Request.Class);
  SubRequestEntry &Entry = Table[Index];
  Entry = SubRequestEntry();
  Entry.Stage = SubRequestEntry::State::Queued;
  Entry.Request = std::move(Request);
  Entry.Previous = Queue.Last;
  if (Queue.Last == NoEntry)
    Queue.First = Index;
  else
    Table[Queue.Last].Next = Index;
  Queue.Last = Index;
  ++Queue.Length;
  return Index;
}

EntryIndex ClassQueue::pop() {
  const List &Interactive = list(SubRequestClass::Interactive);
  const List &Batch = list(SubRequestClass::Batch);
  bool TakeBatch =
      Batch.Length > 0 &&
      (Interactive.Length == 0 || StartsSinceBatch >= InteractivePerBatch);
  EntryIndex Index = TakeBatch ? Batch.First : Interactive.First;
  if (Index == NoEntry)
    return NoEntry;
  StartsSinceBatch = TakeBatch || Batch.Length == 0 ? 0 : StartsSinceBatch + 1;
  unlink(Index);
  Table[Index].Stage = SubRequestEntry::State::Running;
  return Index;
}

void ClassQueue::unlink(EntryIndex Index) {
  SubRequestEntry &Entry = Table[Index];
  List &Queue = list(Entry.Request.Class);
  if (Entry.Previous == NoEntry)
    Queue.First = Entry.Next;
  else
    Table[Entry.Previous].Next = Entry.Next;
  if (Entry.Next == NoEntry)
    Queue.Last = Entry.Previous;
  else
    Table[Entry.Next].Previous = Entry.Previous;
  Entry.Previous = NoEntry;
  Entry.Next = NoEntry;
  --Queue.Length;
}

void ClassQueue::removeKey(EntryIndex Index) {
  auto Found = Keys.find(Table[Index].Request.Key);
  if (Found != Keys.end() && Found->second == Index)
    Keys.erase(Found);
}

void ClassQueue::release(EntryIndex Index) {
  removeKey(Index);
  Table[Index] = SubRequestEntry();
  FreeList.push_back(Index);
}

EntryIndex ClassQueue::find(const SubRequestKey &Key) const {
  auto Found = Keys.find(Key);
  return Found == Keys.end() ? NoEntry : Found->second;
}

EntryIndex ClassQueue::first(SubRequestClass Class) const {
  return Lists[size_t(Class)].First;
}

uint32_t ClassQueue::length(SubRequestClass Class) const {
  return Lists[size_t(Class)].Length;
}

uint32_t ClassQueue::ahead(SubRequestClass Class) const {
  if (Class == SubRequestClass::Batch)
    return length();
  return length(SubRequestClass::Interactive);
}

} // namespace mimosa
