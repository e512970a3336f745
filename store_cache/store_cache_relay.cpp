#include "store_cache/store_cache_relay.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Hosts that a follower tries before it follows the store, and hosts of each
/// other zone that it tries after the store.
constexpr size_t MaxLeaders = 2;
/// A leader that failed is tried again after this time.
constexpr Duration LeaderRetryDelay = Seconds(4);
constexpr Duration TimerInterval = Milliseconds(250);
constexpr double BytesPerMegabit = 1e6 / 8;
/// Share of the link for replies with changes. The rest is for callers and
/// backend servers.
constexpr double LinkShare = 0.33;
/// Requests that wait for a reply. Each of 540 hosts waits for one at a time;
/// more are of other clients.
constexpr size_t MaxWaitingRequests = 4096;
/// Followers ask for the changes since one of the latest few revisions. Other
/// clients may ask for those since any.
constexpr size_t MaxCompressedReplies = 16;
/// Longer waits are shortened to this one; followers ask for less.
constexpr Duration MaxWait = Seconds(10);
/// Interval of the log line on replies to followers.
constexpr Duration LogInterval = Seconds(1);
} // namespace

void LeaderSelector::setHosts(std::vector<LeaderCandidate> Listed) {
  Candidates.clear();
  bool OwnListed = std::any_of(
      Listed.begin(), Listed.end(),
      [this](const LeaderCandidate &Host) { return Host.Name == OwnName; });
  std::sort(Listed.begin(), Listed.end(),
            [](const LeaderCandidate &A, const LeaderCandidate &B) {
              return A.Name < B.Name;
            });
  OtherZones.clear();
  std::map<AvailabilityZoneId, size_t> HostsOfZone;
  for (LeaderCandidate &Host : Listed) {
    if (Host.Zone != OwnZone) {
      if (HostsOfZone[Host.Zone]++ < MaxLeaders)
        OtherZones.push_back(std::move(Host));
    } else if (Host.Name < OwnName || !OwnListed) {
      Candidates.push_back(std::move(Host));
    }
  }
}

bool LeaderSelector::mayAsk(const HostId &Host, MonotonicTime Now) const {
  auto Failed = FailedAt.find(Host);
  return Failed == FailedAt.end() || Now - Failed->second >= LeaderRetryDelay;
}

std::optional<HostId> LeaderSelector::leader(MonotonicTime Now) const {
  for (size_t I = 0; I < Candidates.size() && I < MaxLeaders; ++I)
    if (mayAsk(Candidates[I].Address, Now))
      return Candidates[I].Address;
  return std::nullopt;
}

std::optional<HostId> LeaderSelector::hostOfOtherZone(MonotonicTime Now) const {
  for (const LeaderCandidate &Host : OtherZones)
    if (mayAsk(Host.Address, Now))
      return Host.Address;
  return std::nullopt;
}

void LeaderSelector::recordFailure(const HostId &Leader, MonotonicTime Now) {
  FailedAt[Leader] = Now;
}

StoreCacheRelay::StoreCacheRelay(FiberLoop &Loop, const StoreCache &Cache,
                                 const SourceHealth &Source,
                                 RelayOptions Options)
    : Loop(Loop), Cache(Cache), Source(Source),
      Pacer(Options.LinkMbps * BytesPerMegabit * LinkShare) {}

void StoreCacheRelay::start() {
  Timer = Loop.every(TimerInterval, [this] { onTimer(); });
  LogTimer = Loop.every(LogInterval, [this] { logTraffic(); });
}

bool StoreCacheRelay::fresh() const {
  return Cache.hasListing() && Source.fresh(Loop.now());
}

StoreCacheReply StoreCacheRelay::makeReplyFor(const PendingRequest &Request) {
  StoreCacheReply Out;
  if (Cache.hasListing() && Request.AcceptsCompressed) {
    refreshCompressed();
    if (Compressed.size() >= MaxCompressedReplies)
      Compressed.clear();
    auto [Found, IsNew] = Compressed.try_emplace(Request.After);
    if (IsNew) {
      Found->second = makeReply(Cache.changesSince(Request.After));
      compressItems(Found->second);
    }
    Out = Found->second;
  } else if (Cache.hasListing()) {
    Out = makeReply(Cache.changesSince(Request.After));
  }
  Out.HasListing = Cache.hasListing();
  Out.Fresh = fresh();
  Out.Age = Source.age(Loop.now());
  if (Source.hasFailed())
    Out.SinceRecovery = Loop.now() - Source.recoveredAt().value_or(Loop.now());
  return Out;
}

void StoreCacheRelay::refreshCompressed() {
  auto At = std::make_pair(Cache.era(), Cache.revision());
  if (CompressedAt != At)
    Compressed.clear();
  CompressedAt = At;
}

void StoreCacheRelay::reply(const PendingRequest &Request) {
  std::string Body = packBody(makeReplyFor(Request));
  ++Counters.Replies;
  Counters.Bytes += Body.size();
  Pacer.recordSent(Body.size(), Loop.now());
  Request.Reply(MessageType::StoreCacheReply, std::move(Body));
}

void StoreCacheRelay::enqueue(PendingRequest Request) {
  if (Request.After >= Cache.revision())
    return reply(Request);
  Queued.push_back(std::move(Request));
  sendQueued();
}

void StoreCacheRelay::sendQueued() {
  MonotonicTime Now = Loop.now();
  while (!Queued.empty() && Pacer.maySend(Now)) {
    PendingRequest Request = std::move(Queued.front());
    Queued.pop_front();
    if (Now >= Request.Deadline + StoreCacheReplyMargin)
      ++Counters.Dropped;
    else
      reply(Request);
  }
  SendTimer.cancel();
  if (!Queued.empty())
    SendTimer = Loop.after(Pacer.nextSendAt() - Now, [this] { sendQueued(); });
}

void StoreCacheRelay::logTraffic() {
  if (Counters.Replies == Logged.Replies)
    return;
  logInfo("relay",
          "event=replied replies=" +
              std::to_string(Counters.Replies - Logged.Replies) +
              " bytes=" + std::to_string(Counters.Bytes - Logged.Bytes) +
              " queued=" + std::to_string(Queued.size()) +
              " dropped=" + std::to_string(Counters.Dropped - Logged.Dropped) +
              " revision=" + std::to_string(Cache.revision().number()));
  Logged = Counters;
}

void StoreCacheRelay::listingReplaced() {
  // Revisions of the former era say nothing about the new one.
  for (PendingRequest &Request : Pending)
    Request.After = StoreRevision();
  for (PendingRequest &Request : Queued)
    Request.After = StoreRevision();
  replyToAll();
}

void StoreCacheRelay::replyToAll() {
  std::vector<PendingRequest> Due = std::move(Pending);
  Pending.clear();
  for (PendingRequest &Request : Due)
    enqueue(std::move(Request));
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
    enqueue(std::move(Request));
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
  if (Queued.size() + Pending.size() >= MaxWaitingRequests) {
    ++Counters.Dropped;
    return true;
  }
  // A follower of an older era needs a full listing; one of a newer era gets a
  // reply that shows it the older era. One that states no era may be of an
  // earlier version, and would ask for listings again and again.
  bool SameHistory = Request.Era == Cache.era() || Request.Era == StoreEra();
  StoreRevision After = SameHistory ? Request.After : StoreRevision();
  bool HasUpdate = Cache.revision() > After || !fresh();
  PendingRequest New{
      After,
      Loop.now() + std::clamp<Duration>(Request.Wait, Duration(0), MaxWait),
      Request.AcceptsCompressed, std::move(Reply)};
  if (HasUpdate || Request.Wait <= Duration(0))
    enqueue(std::move(New));
  else
    Pending.push_back(std::move(New));
  return true;
}

} // namespace mimosa
