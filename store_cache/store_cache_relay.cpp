#include "store_cache/store_cache_relay.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Hosts that a follower tries before it follows the store.
constexpr size_t MaxLeaders = 2;
/// A leader that failed is tried again after this time.
constexpr Duration LeaderRetryDelay = Seconds(4);
constexpr Duration TimerInterval = Milliseconds(250);
/// Interval of the log line on replies to followers.
constexpr Duration LogInterval = Seconds(1);
} // namespace

void LeaderSelector::setHosts(std::vector<LeaderCandidate> Listed) {
  Candidates.clear();
  bool OwnListed = std::any_of(
      Listed.begin(), Listed.end(),
      [this](const LeaderCandidate &Host) { return Host.Name == OwnName; });
  for (LeaderCandidate &Host : Listed)
    if (Host.Zone == OwnZone && (Host.Name < OwnName || !OwnListed))
      Candidates.push_back(std::move(Host));
  std::sort(Candidates.begin(), Candidates.end(),
            [](const LeaderCandidate &A, const LeaderCandidate &B) {
              return A.Name < B.Name;
            });
}

std::optional<HostId> LeaderSelector::leader(MonotonicTime Now) const {
  for (size_t I = 0; I < Candidates.size() && I < MaxLeaders; ++I) {
    auto Failed = FailedAt.find(Candidates[I].Address);
    if (Failed == FailedAt.end() || Now - Failed->second >= LeaderRetryDelay)
      return Candidates[I].Address;
  }
  return std::nullopt;
}

void LeaderSelector::recordFailure(const HostId &Leader, MonotonicTime Now) {
  FailedAt[Leader] = Now;
}

void StoreCacheRelay::start() {
  Timer = Loop.every(TimerInterval, [this] { onTimer(); });
  LogTimer = Loop.every(LogInterval, [this] { logTraffic(); });
}

bool StoreCacheRelay::fresh() const {
  return Cache.hasListing() && Source.fresh(Loop.now());
}

StoreCacheReply StoreCacheRelay::makeReplyFor(StoreRevision After) const {
  StoreCacheReply Out;
  if (Cache.hasListing())
    Out = makeReply(Cache.changesSince(After));
  Out.HasListing = Cache.hasListing();
  Out.Fresh = fresh();
  Out.Age = Source.age(Loop.now());
  if (Source.lastFailure())
    Out.SinceFailure = Loop.now() - *Source.lastFailure();
  return Out;
}

void StoreCacheRelay::reply(StoreRevision After, const PeerReplier &Reply) {
  std::string Body = packBody(makeReplyFor(After));
  ++Counters.Replies;
  Counters.Bytes += Body.size();
  Reply(MessageType::StoreCacheReply, std::move(Body));
}

void StoreCacheRelay::logTraffic() {
  if (Counters.Replies == Logged.Replies)
    return;
  logInfo("relay",
          "event=replied replies=" +
              std::to_string(Counters.Replies - Logged.Replies) +
              " bytes=" + std::to_string(Counters.Bytes - Logged.Bytes) +
              " revision=" + std::to_string(Cache.revision().number()));
  Logged = Counters;
}

void StoreCacheRelay::replyToAll() {
  std::vector<PendingRequest> Due = std::move(Pending);
  Pending.clear();
  for (PendingRequest &Request : Due)
    reply(Request.After, Request.Reply);
}

void StoreCacheRelay::onTimer() {
  MonotonicTime Now = Loop.now();
  std::vector<PendingRequest> StillPending;
  std::vector<PendingRequest> Due;
  for (PendingRequest &Request : Pending)
    (Request.Deadline <= Now || !fresh() ? Due : StillPending)
        .push_back(std::move(Request));
  Pending = std::move(StillPending);
  for (PendingRequest &Request : Due)
    reply(Request.After, Request.Reply);
}

bool StoreCacheRelay::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  if (Frame.Type != MessageType::StoreCacheRequest)
    return false;
  Result<StoreCacheRequest> Decoded = unpackBody<StoreCacheRequest>(Frame.Body);
  if (!ok(Decoded)) {
    logWarn("picture",
            "event=bad_request reason=\"" + errorOf(Decoded).Message + "\"");
    return true;
  }
  const StoreCacheRequest &Request = valueOf(Decoded);
  bool HasUpdate = Cache.revision() > Request.After || !fresh();
  if (HasUpdate || Request.Wait <= Duration(0))
    reply(Request.After, Reply);
  else
    Pending.push_back(
        {Request.After, Loop.now() + Request.Wait, std::move(Reply)});
  return true;
}

} // namespace mimosa
