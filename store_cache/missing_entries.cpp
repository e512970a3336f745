#include "store_cache/missing_entries.h"

namespace mimosa {

namespace {
/// Keeps calls apart while a removal is overdue because the source has not
/// answered.
constexpr Duration ShortestWait = Milliseconds(20);
/// A leader calls the store when its own missing entries are due, which is at
/// about the same time. Followers wait for it, so that not all call the store.
constexpr Duration ConfirmationDelay = Milliseconds(300);
} // namespace

MonotonicTime MissingEntries::delayed(MonotonicTime At,
                                      const SourceHealth &Source) {
  if (!Source.outageEndedAt())
    return At;
  return std::max<MonotonicTime>(At, *Source.outageEndedAt() + RewriteTime);
}

bool MissingEntries::recordMissing(const std::string &Id,
                                   const SourceHealth &Source,
                                   MonotonicTime Now) {
  if (RemovedAt.count(Id))
    return false;
  MonotonicTime At = Source.hasFailed()
                         ? Source.recoveredAt().value_or(Now) + RewriteTime
                         : Now;
  if (At <= Now)
    return true;
  RemovedAt.emplace(Id, At);
  return false;
}

std::vector<std::string>
MissingEntries::takeRemoved(const SourceHealth &Source) {
  std::vector<std::string> Out;
  for (auto It = RemovedAt.begin(); It != RemovedAt.end();) {
    if (!Source.upToDateAt() ||
        *Source.upToDateAt() < delayed(It->second, Source)) {
      ++It;
      continue;
    }
    Out.push_back(It->first);
    It = RemovedAt.erase(It);
  }
  return Out;
}

std::optional<MonotonicTime>
MissingEntries::nextRemovalAt(const SourceHealth &Source) const {
  std::optional<MonotonicTime> Next;
  for (const auto &[Id, At] : RemovedAt)
    Next = std::min<MonotonicTime>(Next.value_or(MonotonicTime::max()),
                                   delayed(At, Source));
  return Next;
}

std::optional<Duration>
MissingEntries::nextCallWithin(const SourceHealth &Source,
                               MonotonicTime Now) const {
  std::optional<MonotonicTime> Next = nextRemovalAt(Source);
  if (!Next)
    return std::nullopt;
  return std::max<Duration>(*Next - Now, ShortestWait);
}

bool MissingEntries::overdue(const SourceHealth &Source,
                             MonotonicTime Now) const {
  std::optional<MonotonicTime> Next = nextRemovalAt(Source);
  return Next && Now - *Next >= ConfirmationDelay;
}

} // namespace mimosa
