#include "model/host_model.h"

#include <algorithm>

namespace mimosa {

BackendServerId serverIdOf(const ServiceId &Service, uint32_t Number) {
  return BackendServerId(Service.text() + "." + std::to_string(Number));
}

AvailabilityZoneId zoneOf(uint32_t Number) {
  return AvailabilityZoneId("z" + std::to_string(Number + 1));
}

HostModel::HostModel(const LoadPattern &Pattern, uint32_t Number,
                     EventQueue &Queue, Random &Rng, ServerModels &Servers)
    : Pattern(Pattern), Queue(Queue), Rng(Rng), Servers(Servers),
      Zone(zoneOf(Number % Pattern.Zones)), Registry(Zone, Rng),
      Scheduler(Registry, *this) {
  Registry.setHostCount(Pattern.Hosts);
  Admission.setHostCount(Pattern.Hosts);
  Scheduler.setRetryBudget(
      {Pattern.RetryRatio, Pattern.RetrySlack, Seconds(10)});
  for (const ServiceModel &Service : Pattern.Services) {
    Registry.setLimits(Service.Id, Service.MaxConnections, 0);
    for (uint32_t I = 1; I <= Service.Servers; ++I) {
      BackendServerEntry Entry;
      Entry.Id = serverIdOf(Service.Id, I);
      Entry.Service = Service.Id;
      Entry.Address = Entry.Id.text();
      Entry.Zone = zoneOf(I % Pattern.Zones);
      Entry.Slots = ServerModel::slotsOf(Service, I);
      Registry.update(std::move(Entry), Queue.now());
    }
  }
  Scheduler.onEarlierWakeUp([this] { armTimer(); });
}

void HostModel::armTimer() {
  MonotonicTime Next = Scheduler.nextWakeUp();
  if (Next == Timer.first)
    return;
  Queue.remove(Timer);
  Timer.first = MonotonicTime::max();
  if (Next == MonotonicTime::max())
    return;
  Timer = Queue.add(Next, [this] {
    Timer.first = MonotonicTime::max();
    Scheduler.onTimer(Queue.now());
    armTimer();
  });
}

Duration HostModel::workOf(const RouteId &Id) {
  auto Found =
      std::find_if(Pattern.Routes.begin(), Pattern.Routes.end(),
                   [&](const RouteModel &R) { return R.Definition.Id == Id; });
  double Spread = Found->WorkSpread * (2 * Rng.uniform01() - 1);
  return scaled(Found->Work, 1 + Spread);
}

void HostModel::send(AttemptId Id, const BackendServerPtr &Server,
                     const CallRequest &Request, bool) {
  OpenAttempt &Attempt = Open[Id];
  Attempt.NetworkTime = Pattern.NetworkTime;
  if (Server->entry().Zone != Zone)
    Attempt.NetworkTime += Pattern.CrossZoneTime;
  Queue.add(Queue.now() + Attempt.NetworkTime,
            [this, Id, Target = Servers.at(Server->entry().Id).get(),
             Work = workOf(Request.Route)] {
              auto Found = Open.find(Id);
              if (Found == Open.end())
                return;
              Duration Back = Found->second.NetworkTime;
              ServerModel::RequestKey Key =
                  Target->arrive(Work, [this, Id, Back](ServerReply Reply) {
                    Queue.add(Queue.now() + Back,
                              [this, Id, Reply] { receive(Id, Reply); });
                  });
              Found->second.Server = Target;
              Found->second.Key = Key;
            });
}

void HostModel::cancel(AttemptId Id) {
  auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  if (ServerModel *Server = Found->second.Server)
    Queue.add(Queue.now() + Found->second.NetworkTime,
              [Server, Key = Found->second.Key] { Server->cancel(Key); });
  Open.erase(Found);
}

void HostModel::limitsLifted(const std::vector<BackendProcess> &Processes) {
  for (const BackendProcess &Process : Processes)
    Registry.liftLimit(Process, Queue.now());
}

void HostModel::receive(AttemptId Id, ServerReply Reply) {
  if (Open.erase(Id) == 0)
    return;
  if (Reply.Outcome == ServerOutcome::ConnectionRefused) {
    Scheduler.onNotSent(Id, Queue.now());
  } else {
    BackendAnswer Answer;
    Answer.Status = Reply.Outcome == ServerOutcome::Success ? 200 : 503;
    Answer.NotRun = Reply.Outcome == ServerOutcome::NotRun;
    Answer.Notice = Reply.Notice;
    Answer.Signature = "signed";
    Scheduler.onAnswered(Id, std::move(Answer), Queue.now());
  }
  std::vector<BackendProcess> Lifted = Registry.takeLiftedLimits();
  if (!Lifted.empty() && LiftedLimitsCallback)
    LiftedLimitsCallback(Lifted);
  armTimer();
}

} // namespace mimosa
