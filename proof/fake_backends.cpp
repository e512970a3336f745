#include "proof/fake_backends.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration Hop = Milliseconds(1);
constexpr Duration OpenTime = Milliseconds(3);
constexpr Duration ServiceTime = Milliseconds(4);
/// Added at most. Equal times would all lie above the hedge delay, which is the
/// lower edge of a histogram bin, and would use up the budget of hedges.
constexpr uint64_t MostJitterUs = 2000;
constexpr Duration SlowTime = Milliseconds(80);
constexpr Duration CrashDown = Milliseconds(500);
constexpr Duration WarmStep = Milliseconds(700);

} // namespace

FakeBackends::FakeBackends(Break Broken, Record &Seen, Timeline &Time,
                           OnHost Deliver)
    : Broken(Broken), Seen(Seen), Time(Time), Deliver(std::move(Deliver)),
      Servers(Count) {
  for (size_t B = 0; B < Count; ++B)
    Seen.Zones[name(B).text()] = zone(B).text();
  Seen.Totals = {{"v1", 4}, {"v2", 6}};
}

BackendServerId FakeBackends::name(size_t B) {
  return BackendServerId("b" + std::to_string(B));
}

size_t FakeBackends::index(const BackendServerId &Backend) {
  return static_cast<size_t>(std::stoi(Backend.text().substr(1)));
}

AvailabilityZoneId FakeBackends::zone(size_t B) {
  return AvailabilityZoneId("z" + std::to_string(B % 3 + 1));
}

std::vector<ShardId> FakeBackends::shards(size_t B) const {
  uint32_t Half = Servers[B].Snapshot == "v1" ? 2 : 3;
  std::vector<ShardId> Out;
  for (uint32_t S = 0; S < Half; ++S)
    Out.emplace_back(static_cast<uint32_t>(B % 2) * Half + S);
  return Out;
}

void FakeBackends::straggle(size_t B, Duration For) {
  Servers[B].SlowUntil = Time.Now + For;
}

void FakeBackends::kill(size_t B, Duration Down) {
  Server &S = Servers[B];
  S.Up = false;
  S.InFlight.clear();
  Seen.add({Time.Now, EventKind::Note, name(B).text(), "", "is lost"});
  auto Links = S.Links;
  for (const auto &[Key, Each] : Links)
    if (!Each.Silent)
      lose(B, Key);
  Time.after(Down, [this, B] {
    Server &Next = Servers[B];
    if (Next.Up)
      return;
    Next.Up = true;
    ++Next.Process;
    turnCold(B);
  });
}

void FakeBackends::turnCold(size_t B) {
  Server &S = Servers[B];
  if (S.State == ReportedState::Draining)
    return;
  Seen.add({Time.Now, EventKind::Note, name(B).text(), "", "is cold"});
  S.State = ReportedState::Cold;
  S.Bears = 1;
  warm(B, S.Process);
}

void FakeBackends::warm(size_t B, uint64_t Process) {
  Time.after(WarmStep, [this, B, Process] {
    Server &S = Servers[B];
    if (S.Process != Process || S.State != ReportedState::Cold)
      return;
    S.Bears = Slots;
    S.State = ReportedState::Serving;
  });
}

void FakeBackends::silence(size_t B) {
  for (auto &[Key, Each] : Servers[B].Links)
    Each.Silent = true;
}

void FakeBackends::drain(size_t B) {
  Servers[B].State = ReportedState::Draining;
  Seen.add({Time.Now, EventKind::Draining, name(B).text()});
}

void FakeBackends::repartition() {
  for (size_t B = 0; B < Count; ++B)
    Time.after(Milliseconds(20 * B), [this, B] { Servers[B].Snapshot = "v2"; });
}

bool FakeBackends::alive(size_t B, const LinkKey &Key) const {
  const Server &S = Servers[B];
  auto Found = S.Links.find(Key);
  return S.Up && Found != S.Links.end() && !Found->second.Silent &&
         Found->second.Process == S.Process;
}

StatusReport FakeBackends::status(size_t B) const {
  const Server &S = Servers[B];
  StatusReport Out;
  Out.BackendIncarnation = Incarnation(S.Process);
  Out.State = S.State;
  if (Broken == Break::DrainIgnored && Out.State == ReportedState::Draining)
    Out.State = ReportedState::Serving;
  Out.Capacity = S.Bears;
  uint32_t Total = Seen.Totals.at(S.Snapshot);
  Out.Snapshots.push_back({SnapshotId(S.Snapshot), Total, shards(B)});
  return Out;
}

/// Notes that an owner hears the present state.
void FakeBackends::tell(size_t B) {
  Server &S = Servers[B];
  S.Told = S.State == ReportedState::Cold ? S.Bears : Slots;
}

void FakeBackends::act(size_t Host, size_t B, const OpenConnection &A) {
  LinkKey Key = keyOf(Host, A.Scheduler, A.Connection);
  Time.after(OpenTime, [=] {
    if (Servers[B].Up)
      Servers[B].Links[Key] = {Servers[B].Process, false};
    bool Opened = Servers[B].Up;
    Deliver(Host, [=](Dispatcher &D, DispatchActions &Out) {
      BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
      if (!Scheduler)
        return;
      if (Opened)
        Scheduler->connectionOpened(A.Connection, Time.Now, Out);
      else
        Scheduler->connectionLost(A.Connection, Time.Now, Out);
    });
  });
}

void FakeBackends::act(size_t Host, size_t B, const CloseConnection &A) {
  Servers[B].Links.erase(keyOf(Host, A.Scheduler, A.Connection));
}

void FakeBackends::lose(size_t B, const LinkKey &Key) {
  Servers[B].Links.erase(Key);
  auto [Host, Scheduler, Connection] = Key;
  SchedulerId G(Scheduler);
  ConnectionId C(Connection);
  Deliver(Host, [=](Dispatcher &D, DispatchActions &Out) {
    if (BackendScheduler *Found = D.scheduler(G))
      Found->connectionLost(C, Time.Now, Out);
  });
}

void FakeBackends::act(size_t Host, size_t B, const PollStatus &A) {
  LinkKey Key = keyOf(Host, A.Scheduler, A.Connection);
  Time.after(Hop, [=] {
    if (!alive(B, Key))
      return;
    StatusReport Report = status(B);
    Deliver(Host, [=](Dispatcher &D, DispatchActions &Out) {
      BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
      if (!Scheduler)
        return;
      tell(B);
      Scheduler->firstByteReceived(A.Connection);
      Scheduler->statusReplied(A.Connection, Report, Time.Now, Out);
    });
  });
}

void FakeBackends::act(size_t Host, size_t B, const SendCancel &A) {
  LinkKey Key = keyOf(Host, A.Scheduler, A.Connection);
  Time.after(Hop, [=] {
    if (!alive(B, Key))
      return;
    auto Found = Servers[B].InFlight.find(idOf(Host, A.Scheduler, A.Id));
    if (Found != Servers[B].InFlight.end() && Found->second) {
      SendSearch Stopped = *Found->second;
      Servers[B].InFlight.erase(Found);
      SearchReply Ended;
      Ended.Type = SearchReply::Kind::Malformed;
      reply(Host, B, Stopped, Ended);
    }
    Deliver(Host, [=](Dispatcher &D, DispatchActions &Out) {
      if (BackendScheduler *Scheduler = D.scheduler(A.Scheduler))
        Scheduler->cancelReplied(A.Connection, Time.Now, Out);
    });
  });
}

void FakeBackends::noteSend(const LinkKey &Id, size_t B,
                            const SubRequest &Work) {
  Server &S = Servers[B];
  S.InFlight[Id] = std::nullopt;
  Event E{Time.Now, EventKind::Send, name(B).text(), *Work.Query};
  E.Text = "by h" + std::to_string(std::get<0>(Id));
  E.Snapshot = Work.Snapshot.text();
  E.Shards = Work.Shards;
  E.Count = S.InFlight.size();
  E.Limit = S.Told;
  Seen.add(std::move(E));
}

void FakeBackends::act(size_t Host, size_t B, const SendSearch &A) {
  noteSend(idOf(Host, A.Scheduler, A.Id), B, A.Request);
  Time.after(Hop, [=] { arrive(Host, B, A); });
}

void FakeBackends::arrive(size_t Host, size_t B, const SendSearch &A) {
  Server &S = Servers[B];
  LinkKey Id = idOf(Host, A.Scheduler, A.Id);
  if (!alive(B, keyOf(Host, A.Scheduler, A.Connection))) {
    S.InFlight.erase(Id);
    return;
  }
  SearchReply Refusal;
  Refusal.Type = SearchReply::Kind::Refused;
  if (S.State == ReportedState::Draining && Broken != Break::DrainIgnored)
    Refusal.Reason = RefusalReason::Draining;
  else if (S.InFlight.size() > S.Bears)
    Refusal.Reason = RefusalReason::Shed;
  else if (A.Request.Snapshot.text() != S.Snapshot && B % 2 == 1)
    Refusal.Reason = RefusalReason::UnknownSnapshot;
  if (Refusal.Reason != RefusalReason::None) {
    S.InFlight.erase(Id);
    reply(Host, B, A, Refusal);
    return;
  }
  S.InFlight[Id] = A;
  Event E{Time.Now, EventKind::Start, name(B).text(), *A.Request.Query};
  E.Snapshot = A.Request.Snapshot.text();
  E.Shards = A.Request.Shards;
  Seen.add(std::move(E));
  if (A.Request.Query->rfind("crash", 0) == 0) {
    ++Seen.Crashes;
    kill(B, CrashDown);
    return;
  }
  Duration Run = Time.Now < S.SlowUntil ? Duration(SlowTime) : ServiceTime;
  Run += Duration(Rand.below(MostJitterUs));
  uint64_t Process = S.Process;
  Time.after(Run, [=] {
    if (Servers[B].Up && Servers[B].Process == Process)
      finish(Host, B, A);
  });
}

void FakeBackends::finish(size_t Host, size_t B, const SendSearch &A) {
  if (Servers[B].InFlight.erase(idOf(Host, A.Scheduler, A.Id)) == 0)
    return;
  LinkKey Key = keyOf(Host, A.Scheduler, A.Connection);
  if (!LoseReply.empty() && LoseReply == *A.Request.Query) {
    LoseReply.clear();
    Seen.add({Time.Now, EventKind::Note, name(B).text(), *A.Request.Query,
              "reply lost"});
    lose(B, Key);
    if (OnReplyLost)
      OnReplyLost();
    return;
  }
  SearchReply Answer;
  Answer.Body = answerBody(B, A.Request);
  reply(Host, B, A, std::move(Answer));
}

std::string FakeBackends::answerBody(size_t B, const SubRequest &Work) const {
  FakeAnswer Body;
  Body.Snapshot = SnapshotId(Servers[B].Snapshot);
  Body.Shards = Work.Shards;
  Body.Request = *Work.Query;
  return packBody(Body);
}

void FakeBackends::reply(size_t Host, size_t B, const SendSearch &A,
                         SearchReply Answer) {
  Answer.BackendIncarnation = Incarnation(Servers[B].Process);
  Answer.State = status(B).State;
  Answer.Capacity = Servers[B].Bears;
  LinkKey Key = keyOf(Host, A.Scheduler, A.Connection);
  Time.after(Hop, [=] {
    if (!alive(B, Key))
      return;
    Deliver(Host, [=](Dispatcher &D, DispatchActions &Out) {
      BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
      if (!Scheduler)
        return;
      // A search that was cut off ends without a state of the backend server.
      if (Answer.Type != SearchReply::Kind::Malformed)
        tell(B);
      Scheduler->firstByteReceived(A.Connection);
      Scheduler->searchReplied(A.Connection, Answer, Time.Now, Out);
    });
    if (OnAnswered && Answer.Type == SearchReply::Kind::Answered)
      OnAnswered(*A.Request.Query);
  });
}

void FakeBackends::sendPastGate(
    size_t Host, size_t B, const SubRequest &Work,
    const std::function<void(SubRequestResult)> &OnReply) {
  LinkKey Id = idOf(Host, SchedulerId(), DispatchId(++PastGate));
  noteSend(Id, B, Work);
  Time.after(Hop + ServiceTime, [=] {
    Servers[B].InFlight.erase(Id);
    SubRequestResult Out;
    Out.Key = Work.Key;
    Out.Outcome = DispatchOutcome::Answered;
    Out.Body = answerBody(B, Work);
    OnReply(Out);
  });
}

} // namespace mimosa
