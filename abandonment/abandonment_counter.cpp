#include "abandonment/abandonment_counter.h"

namespace mimosa {
namespace {

// A partial answer that is sent at the deadline is written a few milliseconds
// later.
constexpr Duration LateAnswerGrace = Milliseconds(10);
// TCP_USER_TIMEOUT of the callers' connections.
constexpr Duration UserTimeout = Seconds(5);

} // namespace

const char *abandonmentKindName(AbandonmentKind Kind) {
  switch (Kind) {
  case AbandonmentKind::Closed:
    return "closed";
  case AbandonmentKind::Cancelled:
    return "cancelled";
  case AbandonmentKind::AnsweredLate:
    return "answered_late";
  case AbandonmentKind::Queued:
    return "queued";
  case AbandonmentKind::Unreachable:
    return "unreachable";
  }
  return "unknown";
}

void AbandonmentCounter::arrived(RequestId Id, const ServiceId &Service,
                                 RequestClass Class, MonotonicTime Deadline,
                                 MonotonicTime Now) {
  Requests.emplace(Id, Request{Service, Class, Now, Deadline, Stage::Queued});
}

void AbandonmentCounter::started(RequestId Id) {
  auto Entry = Requests.find(Id);
  if (Entry != Requests.end() && Entry->second.CurrentStage == Stage::Queued)
    Entry->second.CurrentStage = Stage::Running;
}

void AbandonmentCounter::expiredInQueue(RequestId Id, MonotonicTime Now) {
  recordAbandonment(Id, AbandonmentKind::Queued, Now);
}

void AbandonmentCounter::connectionClosed(RequestId Id, MonotonicTime Now) {
  recordAbandonment(Id, AbandonmentKind::Closed, Now);
}

void AbandonmentCounter::cancelled(RequestId Id, MonotonicTime Now) {
  recordAbandonment(Id, AbandonmentKind::Cancelled, Now);
}

// An orderly close, or a cancel, after the answer was written is taken to mean
// that the caller has received it.
void AbandonmentCounter::recordAbandonment(RequestId Id, AbandonmentKind Kind,
                                           MonotonicTime Now) {
  auto Entry = Requests.find(Id);
  if (Entry == Requests.end() || Entry->second.CurrentStage == Stage::Answered)
    return;
  bool Queued = Entry->second.CurrentStage == Stage::Queued;
  record(Entry, Queued ? AbandonmentKind::Queued : Kind, Now);
}

void AbandonmentCounter::answered(RequestId Id, MonotonicTime Now) {
  auto Entry = Requests.find(Id);
  if (Entry == Requests.end() || Entry->second.CurrentStage == Stage::Answered)
    return;
  if (Now > Entry->second.Deadline + LateAnswerGrace) {
    record(Entry, AbandonmentKind::AnsweredLate, Now);
    return;
  }
  Entry->second.CurrentStage = Stage::Answered;
  AnsweredAt.emplace_back(Now, Id);
}

void AbandonmentCounter::unreachable(RequestId Id, MonotonicTime Now) {
  auto Entry = Requests.find(Id);
  if (Entry != Requests.end())
    record(Entry, AbandonmentKind::Unreachable, Now);
}

void AbandonmentCounter::expire(MonotonicTime Now) {
  while (!AnsweredAt.empty() && Now - AnsweredAt.front().first > UserTimeout) {
    Requests.erase(AnsweredAt.front().second);
    AnsweredAt.pop_front();
  }
}

void AbandonmentCounter::record(RequestMap::iterator Entry,
                                AbandonmentKind Kind, MonotonicTime Now) {
  const Request &Abandoned = Entry->second;
  Tally &Target = ByService[Abandoned.Service][indexOf(Abandoned.Class, Kind)];
  ++Target.Count;
  Target.WaitTimes.add(Now - Abandoned.ArrivedAt);
  Requests.erase(Entry);
}

size_t AbandonmentCounter::indexOf(RequestClass Class, AbandonmentKind Kind) {
  return static_cast<size_t>(Class) * AbandonmentKindCount +
         static_cast<size_t>(Kind);
}

uint64_t AbandonmentCounter::count(const ServiceId &Service, RequestClass Class,
                                   AbandonmentKind Kind) const {
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? 0
                                  : Found->second[indexOf(Class, Kind)].Count;
}

std::vector<AbandonmentRow> AbandonmentCounter::rows() const {
  std::vector<AbandonmentRow> All;
  for (const auto &[Service, Tallies] : ByService)
    for (size_t I = 0; I < Tallies.size(); ++I) {
      if (Tallies[I].Count == 0)
        continue;
      auto Class = static_cast<RequestClass>(I / AbandonmentKindCount);
      auto Kind = static_cast<AbandonmentKind>(I % AbandonmentKindCount);
      All.push_back({Service, Class, Kind, Tallies[I].Count,
                     Tallies[I].WaitTimes.buckets()});
    }
  return All;
}

} // namespace mimosa
