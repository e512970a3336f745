#include "proof/fake_backends.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration NetworkDelay = Milliseconds(1);
constexpr Duration ConnectTime = Milliseconds(3);
constexpr Duration ServiceTime = Milliseconds(4);
/// Upper bound of the random part of the service time. If all service times
/// were equal, they would all exceed the hedge delay, which is the lower edge
/// of a histogram bin, and would use up the hedge budget.
constexpr uint64_t MaxJitterUs = 2000;
constexpr Duration StragglerTime = Milliseconds(80);
constexpr Duration CrashDowntime = Milliseconds(500);
constexpr Duration WarmUpTime = Milliseconds(700);

} // namespace

FakeBackends::FakeBackends(InjectedBug Bug, EventLog &Log, Timeline &Time,
                           RunOnDispatcher OnDispatcher)
    : Bug(Bug), Log(Log), Time(Time), OnDispatcher(std::move(OnDispatcher)),
      Servers(Count) {
  for (size_t B = 0; B < Count; ++B)
    Log.BackendZones[name(B).text()] = zone(B).text();
  Log.ShardCounts = {{"v1", 4}, {"v2", 6}};
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

std::vector<ShardId> FakeBackends::shardsOf(size_t B) const {
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
  Log.add({Time.Now, EventKind::Note, name(B).text(), "", "is lost"});
  auto Connections = S.Connections;
  for (const auto &[Key, Each] : Connections)
    if (!Each.Silent)
      breakConnection(B, Key);
  Time.after(Down, [this, B] {
    Server &Next = Servers[B];
    if (Next.Up)
      return;
    Next.Up = true;
    ++Next.IncarnationNumber;
    turnCold(B);
  });
}

void FakeBackends::turnCold(size_t B) {
  Server &S = Servers[B];
  if (S.State == ReportedState::Draining)
    return;
  Log.add({Time.Now, EventKind::Note, name(B).text(), "", "is cold"});
  S.State = ReportedState::Cold;
  S.Capacity = 1;
  scheduleWarmUp(B, S.IncarnationNumber);
}

void FakeBackends::scheduleWarmUp(size_t B, uint64_t IncarnationNumber) {
  Time.after(WarmUpTime, [this, B, IncarnationNumber] {
    Server &S = Servers[B];
    if (S.IncarnationNumber != IncarnationNumber ||
        S.State != ReportedState::Cold)
      return;
    S.Capacity = Slots;
    S.State = ReportedState::Serving;
  });
}

void FakeBackends::silence(size_t B) {
  for (auto &[Key, Each] : Servers[B].Connections)
    Each.Silent = true;
}

void FakeBackends::drain(size_t B) {
  Servers[B].State = ReportedState::Draining;
  Log.add({Time.Now, EventKind::Draining, name(B).text()});
}

void FakeBackends::repartition() {
  for (size_t B = 0; B < Count; ++B)
    Time.after(Milliseconds(20 * B), [this, B] { Servers[B].Snapshot = "v2"; });
}

bool FakeBackends::isConnected(size_t B, const ScopedId &Key) const {
  const Server &S = Servers[B];
  auto Found = S.Connections.find(Key);
  return S.Up && Found != S.Connections.end() && !Found->second.Silent &&
         Found->second.IncarnationNumber == S.IncarnationNumber;
}

StatusReport FakeBackends::status(size_t B) const {
  const Server &S = Servers[B];
  StatusReport Out;
  Out.BackendIncarnation = Incarnation(S.IncarnationNumber);
  Out.State = S.State;
  if (Bug == InjectedBug::DrainIgnored && Out.State == ReportedState::Draining)
    Out.State = ReportedState::Serving;
  Out.Capacity = S.Capacity;
  uint32_t Total = Log.ShardCounts.at(S.Snapshot);
  Out.Snapshots.push_back({SnapshotId(S.Snapshot), Total, shardsOf(B)});
  return Out;
}

/// Records the capacity that a reply reports to the owner.
void FakeBackends::recordReportedCapacity(size_t B) {
  Server &S = Servers[B];
  S.ReportedCapacity = S.State == ReportedState::Cold ? S.Capacity : Slots;
}

void FakeBackends::perform(size_t Host, size_t B, const OpenConnection &A) {
  ScopedId Key = connectionIdOf(Host, A.Scheduler, A.Connection);
  Time.after(ConnectTime, [=] {
    if (Servers[B].Up)
      Servers[B].Connections[Key] = {Servers[B].IncarnationNumber, false};
    bool Opened = Servers[B].Up;
    OnDispatcher(Host, [=](Dispatcher &D, DispatchActions &Out) {
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

void FakeBackends::perform(size_t Host, size_t B, const CloseConnection &A) {
  Servers[B].Connections.erase(connectionIdOf(Host, A.Scheduler, A.Connection));
}

void FakeBackends::breakConnection(size_t B, const ScopedId &Key) {
  Servers[B].Connections.erase(Key);
  auto [Host, Scheduler, Connection] = Key;
  SchedulerId OwnerScheduler(Scheduler);
  ConnectionId LostConnection(Connection);
  OnDispatcher(Host, [=](Dispatcher &D, DispatchActions &Out) {
    if (BackendScheduler *Found = D.scheduler(OwnerScheduler))
      Found->connectionLost(LostConnection, Time.Now, Out);
  });
}

void FakeBackends::perform(size_t Host, size_t B, const PollStatus &A) {
  ScopedId Key = connectionIdOf(Host, A.Scheduler, A.Connection);
  Time.after(NetworkDelay, [=] {
    if (!isConnected(B, Key))
      return;
    StatusReport Report = status(B);
    OnDispatcher(Host, [=](Dispatcher &D, DispatchActions &Out) {
      BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
      if (!Scheduler)
        return;
      recordReportedCapacity(B);
      Scheduler->firstByteReceived(A.Connection);
      Scheduler->statusReplied(A.Connection, Report, Time.Now, Out);
    });
  });
}

void FakeBackends::perform(size_t Host, size_t B, const SendCancel &A) {
  ScopedId Key = connectionIdOf(Host, A.Scheduler, A.Connection);
  Time.after(NetworkDelay, [=] {
    if (!isConnected(B, Key))
      return;
    auto Found = Servers[B].InFlight.find(searchIdOf(Host, A.Scheduler, A.Id));
    if (Found != Servers[B].InFlight.end() && Found->second) {
      SendSearch Stopped = *Found->second;
      Servers[B].InFlight.erase(Found);
      SearchReply Ended;
      Ended.Type = SearchReply::Kind::Malformed;
      reply(Host, B, Stopped, Ended);
    }
    OnDispatcher(Host, [=](Dispatcher &D, DispatchActions &Out) {
      if (BackendScheduler *Scheduler = D.scheduler(A.Scheduler))
        Scheduler->cancelReplied(A.Connection, Time.Now, Out);
    });
  });
}

void FakeBackends::recordSend(const ScopedId &Id, size_t B,
                              const SubRequest &Request) {
  Server &S = Servers[B];
  S.InFlight[Id] = std::nullopt;
  Event E{Time.Now, EventKind::SearchSent, name(B).text(), *Request.Query};
  E.Text = "by h" + std::to_string(std::get<0>(Id));
  E.Snapshot = Request.Snapshot.text();
  E.Shards = Request.Shards;
  E.Count = S.InFlight.size();
  E.Limit = S.ReportedCapacity;
  Log.add(std::move(E));
}

void FakeBackends::perform(size_t Host, size_t B, const SendSearch &A) {
  recordSend(searchIdOf(Host, A.Scheduler, A.Id), B, A.Request);
  Time.after(NetworkDelay, [=] { onSearchArrived(Host, B, A); });
}

void FakeBackends::onSearchArrived(size_t Host, size_t B, const SendSearch &A) {
  Server &S = Servers[B];
  ScopedId Id = searchIdOf(Host, A.Scheduler, A.Id);
  if (!isConnected(B, connectionIdOf(Host, A.Scheduler, A.Connection))) {
    S.InFlight.erase(Id);
    return;
  }
  SearchReply Refusal;
  Refusal.Type = SearchReply::Kind::Refused;
  if (S.State == ReportedState::Draining && Bug != InjectedBug::DrainIgnored)
    Refusal.Reason = RefusalReason::Draining;
  else if (S.InFlight.size() > S.Capacity)
    Refusal.Reason = RefusalReason::Shed;
  else if (A.Request.Snapshot.text() != S.Snapshot && B % 2 == 1)
    Refusal.Reason = RefusalReason::UnknownSnapshot;
  if (Refusal.Reason != RefusalReason::None) {
    S.InFlight.erase(Id);
    reply(Host, B, A, Refusal);
    return;
  }
  S.InFlight[Id] = A;
  Event E{Time.Now, EventKind::SearchStarted, name(B).text(), *A.Request.Query};
  E.Snapshot = A.Request.Snapshot.text();
  E.Shards = A.Request.Shards;
  Log.add(std::move(E));
  if (A.Request.Query->rfind("crash", 0) == 0) {
    ++Log.Crashes;
    kill(B, CrashDowntime);
    return;
  }
  Duration Run = Time.Now < S.SlowUntil ? Duration(StragglerTime) : ServiceTime;
  Run += Duration(Rand.below(MaxJitterUs));
  uint64_t IncarnationNumber = S.IncarnationNumber;
  Time.after(Run, [=] {
    if (Servers[B].Up && Servers[B].IncarnationNumber == IncarnationNumber)
      finishSearch(Host, B, A);
  });
}

void FakeBackends::finishSearch(size_t Host, size_t B, const SendSearch &A) {
  if (Servers[B].InFlight.erase(searchIdOf(Host, A.Scheduler, A.Id)) == 0)
    return;
  ScopedId Key = connectionIdOf(Host, A.Scheduler, A.Connection);
  if (!LostReplyRequest.empty() && LostReplyRequest == *A.Request.Query) {
    LostReplyRequest.clear();
    Log.add({Time.Now, EventKind::Note, name(B).text(), *A.Request.Query,
             "reply lost"});
    breakConnection(B, Key);
    if (OnReplyLost)
      OnReplyLost();
    return;
  }
  SearchReply Answer;
  Answer.Body = replyBody(B, A.Request);
  reply(Host, B, A, std::move(Answer));
}

std::string FakeBackends::replyBody(size_t B, const SubRequest &Request) const {
  FakeReplyBody Body;
  Body.Snapshot = SnapshotId(Servers[B].Snapshot);
  Body.Shards = Request.Shards;
  Body.Request = *Request.Query;
  return packBody(Body);
}

void FakeBackends::reply(size_t Host, size_t B, const SendSearch &A,
                         SearchReply Answer) {
  Answer.BackendIncarnation = Incarnation(Servers[B].IncarnationNumber);
  Answer.State = status(B).State;
  Answer.Capacity = Servers[B].Capacity;
  ScopedId Key = connectionIdOf(Host, A.Scheduler, A.Connection);
  Time.after(NetworkDelay, [=] {
    if (!isConnected(B, Key))
      return;
    OnDispatcher(Host, [=](Dispatcher &D, DispatchActions &Out) {
      BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
      if (!Scheduler)
        return;
      // The reply to a cancelled search does not report the server's state.
      if (Answer.Type != SearchReply::Kind::Malformed)
        recordReportedCapacity(B);
      Scheduler->firstByteReceived(A.Connection);
      Scheduler->searchReplied(A.Connection, Answer, Time.Now, Out);
    });
    if (OnSearchAnswered && Answer.Type == SearchReply::Kind::Answered)
      OnSearchAnswered(*A.Request.Query);
  });
}

void FakeBackends::sendBypassingScheduler(
    size_t Host, size_t B, const SubRequest &Request,
    const std::function<void(SubRequestResult)> &OnReply) {
  ScopedId Id = searchIdOf(Host, SchedulerId(), DispatchId(++LastBypassId));
  recordSend(Id, B, Request);
  Time.after(NetworkDelay + ServiceTime, [=] {
    Servers[B].InFlight.erase(Id);
    SubRequestResult Out;
    Out.Key = Request.Key;
    Out.Outcome = DispatchOutcome::Answered;
    Out.Body = replyBody(B, Request);
    OnReply(Out);
  });
}

} // namespace mimosa
