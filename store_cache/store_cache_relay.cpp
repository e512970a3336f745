#include "store_cache/store_cache_relay.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Hosts that are asked before the store is.
constexpr size_t MaxLeaders = 2;
/// A host that failed is asked again after this time.
constexpr Duration LeaderRetry = Seconds(4);
constexpr Duration TickInterval = Milliseconds(250);
} // namespace

void LeaderSelector::setHosts(std::vector<LeaderCandidate> Listed) {
  Before.clear();
  for (LeaderCandidate &Host : Listed)
    if (Host.Zone == OwnZone && Host.Name < OwnName)
      Before.push_back(std::move(Host));
  std::sort(Before.begin(), Before.end(),
            [](const LeaderCandidate &A, const LeaderCandidate &B) {
              return A.Name < B.Name;
            });
}

std::optional<HostId> LeaderSelector::leader(MonotonicTime Now) const {
  for (size_t I = 0; I < Before.size() && I < MaxLeaders; ++I) {
    auto Failed = FailedAt.find(Before[I].Address);
    if (Failed == FailedAt.end() || Now - Failed->second >= LeaderRetry)
      return Before[I].Address;
  }
  return std::nullopt;
}

void LeaderSelector::recordFailure(const HostId &Leader, MonotonicTime Now) {
  FailedAt[Leader] = Now;
}

void StoreCacheRelay::start() {
  Tick = Loop.every(TickInterval, [this] { onTick(); });
}

bool StoreCacheRelay::fresh() const {
  return Own.hasListing() && Source.fresh(Loop.now());
}

StoreCacheReply StoreCacheRelay::replyTo(StoreRevision After) const {
  StoreCacheReply Out;
  if (Own.hasListing())
    Out = makeReply(Own.changesSince(After));
  Out.HasListing = Own.hasListing();
  Out.Fresh = fresh();
  Out.Age = Source.age(Loop.now());
  if (Source.lastFailure())
    Out.SinceFailure = Loop.now() - *Source.lastFailure();
  return Out;
}

void StoreCacheRelay::replyToFollowers() {
  std::vector<Follower> Waiting = std::move(Followers);
  Followers.clear();
  for (Follower &F : Waiting)
    F.Reply(MessageType::StoreCacheReply, packBody(replyTo(F.After)));
}

void StoreCacheRelay::onTick() {
  MonotonicTime Now = Loop.now();
  std::vector<Follower> Kept;
  std::vector<Follower> Due;
  for (Follower &F : Followers)
    (F.Until <= Now || !fresh() ? Due : Kept).push_back(std::move(F));
  Followers = std::move(Kept);
  for (Follower &F : Due)
    F.Reply(MessageType::StoreCacheReply, packBody(replyTo(F.After)));
}

bool StoreCacheRelay::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  if (Frame.Type != MessageType::StoreCacheRequest)
    return false;
  Result<StoreCacheRequest> Request = unpackBody<StoreCacheRequest>(Frame.Body);
  if (!ok(Request)) {
    logWarn("picture",
            "event=bad_request reason=\"" + errorOf(Request).Message + "\"");
    return true;
  }
  const StoreCacheRequest &R = valueOf(Request);
  bool HasNews = Own.revision() > R.After || !fresh();
  if (HasNews || R.Wait <= Duration(0))
    Reply(MessageType::StoreCacheReply, packBody(replyTo(R.After)));
  else
    Followers.push_back({R.After, Loop.now() + R.Wait, std::move(Reply)});
  return true;
}

} // namespace mimosa
