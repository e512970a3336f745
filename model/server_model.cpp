#include "model/server_model.h"

#include <algorithm>

namespace mimosa {

MonotonicTime ServerModel::endOfWork(MonotonicTime From, Duration Work) const {
  if (Service.Pause == Duration(0))
    return From + Work;
  // The server pauses at the start of each interval.
  MonotonicTime At = From;
  while (true) {
    Duration Phase =
        (At.time_since_epoch() + PausePhase) % Service.PauseInterval;
    if (Phase < Service.Pause)
      At += Service.Pause - Phase;
    Duration UntilPause =
        Service.PauseInterval - std::max(Phase, Service.Pause);
    if (Work <= UntilPause)
      return At + Work;
    Work -= UntilPause;
    At += UntilPause;
  }
}

ServerModel::RequestKey ServerModel::arrive(Duration Work,
                                            ReplyFunction Reply) {
  RequestKey Key = ++LastKey;
  Arrivals.push_back(Queue.now());
  if (Silent)
    return Key;
  if (Crashed) {
    Reply({ServerOutcome::ConnectionRefused, {}});
    return Key;
  }
  bool Full = Running.size() >= Slots && Waiting.size() >= Service.QueueLimit;
  if (Full || Notice.Pause > Duration(0) || Rng.uniform01() < ShedShare) {
    ++Refusals;
    Reply({ServerOutcome::NotRun, Notice});
    return Key;
  }
  Waiting.push_back({Key, Work, std::move(Reply)});
  startNext();
  return Key;
}

void ServerModel::startNext() {
  while (!Waiting.empty() && Running.size() < Slots) {
    Request Next = std::move(Waiting.front());
    Waiting.pop_front();
    Running.insert(Next.Key);
    Duration Work = scaled(Next.Work, WorkFactor * SlowFactor);
    Queue.add(endOfWork(Queue.now(), Work),
              [this, Key = Next.Key, Reply = std::move(Next.Reply)] {
                if (Running.erase(Key) == 0)
                  return;
                if (!Silent)
                  Reply({Crashed ? ServerOutcome::ConnectionRefused
                                 : ServerOutcome::Success,
                         Notice});
                startNext();
              });
  }
}

void ServerModel::cancel(RequestKey Key) {
  if (Running.erase(Key) > 0)
    return startNext();
  Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(),
                               [&](const Request &R) { return R.Key == Key; }),
                Waiting.end());
}

void ServerModel::setFault(const ModelEvent &Event, bool Active) {
  switch (Event.Kind) {
  case ModelEventKind::Slow:
    SlowFactor = Active ? Event.Factor : 1;
    break;
  case ModelEventKind::Shed:
    ShedShare = Active ? Event.Factor : 0;
    break;
  case ModelEventKind::Silent:
    Silent = Active;
    break;
  case ModelEventKind::Crash:
    Crashed = Active;
    break;
  case ModelEventKind::Limit:
    Notice.Limit.reset();
    if (Active)
      Notice.Limit = RequestRate{Event.Factor};
    break;
  case ModelEventKind::Pause:
    Notice.Pause = scaled(Seconds(1), Active ? Event.Factor : 0);
    break;
  case ModelEventKind::Leave:
    Notice.Leaving = Active;
    break;
  case ModelEventKind::Burst:
    break;
  }
}

} // namespace mimosa
