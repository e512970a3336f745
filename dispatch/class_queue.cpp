#include "dispatch/class_queue.h"

namespace mimosa {
namespace {

/// One start in 20 (5%) goes to batch while both classes wait.
constexpr uint32_t InteractivePerBatch = 19;

} // namespace

WorkIndex ClassQueue::push(SubRequest Request) {
  WorkIndex Index =
      FreeList.empty() ? static_cast<WorkIndex>(Table.size()) : FreeList.back();
  if (!Keys.try_emplace(Request.Key, Index).second)
    return NoWork;
  if (FreeList.empty())
    Table.emplace_back();
  else
    FreeList.pop_back();
  List &Queue = list(Request.Class);
  Work &Entry = Table[Index];
  Entry = Work();
  Entry.Stage = Work::State::Queued;
  Entry.Request = std::move(Request);
  Entry.Previous = Queue.Last;
  if (Queue.Last == NoWork)
    Queue.First = Index;
  else
    Table[Queue.Last].Next = Index;
  Queue.Last = Index;
  ++Queue.Length;
  return Index;
}

WorkIndex ClassQueue::pop() {
  const List &Interactive = list(SubRequestClass::Interactive);
  const List &Batch = list(SubRequestClass::Batch);
  bool TakeBatch = Batch.Length > 0 && (Interactive.Length == 0 ||
                                        SinceBatch >= InteractivePerBatch);
  WorkIndex Index = TakeBatch ? Batch.First : Interactive.First;
  if (Index == NoWork)
    return NoWork;
  SinceBatch = TakeBatch || Batch.Length == 0 ? 0 : SinceBatch + 1;
  unlink(Index);
  Table[Index].Stage = Work::State::Running;
  return Index;
}

void ClassQueue::unlink(WorkIndex Index) {
  Work &Entry = Table[Index];
  List &Queue = list(Entry.Request.Class);
  if (Entry.Previous == NoWork)
    Queue.First = Entry.Next;
  else
    Table[Entry.Previous].Next = Entry.Next;
  if (Entry.Next == NoWork)
    Queue.Last = Entry.Previous;
  else
    Table[Entry.Next].Previous = Entry.Previous;
  Entry.Previous = NoWork;
  Entry.Next = NoWork;
  --Queue.Length;
}

void ClassQueue::forgetKey(WorkIndex Index) {
  auto Found = Keys.find(Table[Index].Request.Key);
  if (Found != Keys.end() && Found->second == Index)
    Keys.erase(Found);
}

void ClassQueue::release(WorkIndex Index) {
  forgetKey(Index);
  Table[Index] = Work();
  FreeList.push_back(Index);
}

WorkIndex ClassQueue::find(const SubRequestKey &Key) const {
  auto Found = Keys.find(Key);
  return Found == Keys.end() ? NoWork : Found->second;
}

WorkIndex ClassQueue::first(SubRequestClass Class) const {
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
