#include "picture/picture_relay.h"

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

void LeaderChoice::setHosts(std::vector<PictureHost> Listed) {
  Before.clear();
  for (PictureHost &Host : Listed)
    if (Host.Zone == OwnZone && Host.Name < OwnName)
      Before.push_back(std::move(Host));
  std::sort(Before.begin(), Before.end(),
            [](const PictureHost &A, const PictureHost &B) {
              return A.Name < B.Name;
            });
}

std::optional<HostId> LeaderChoice::leader(MonotonicTime Now) const {
  for (size_t I = 0; I < Before.size() && I < MaxLeaders; ++I) {
    auto Failed = FailedAt.find(Before[I].Address);
    if (Failed == FailedAt.end() || Now - Failed->second >= LeaderRetry)
      return Before[I].Address;
  }
  return std::nullopt;
}

void LeaderChoice::failed(const HostId &Leader, MonotonicTime Now) {
  FailedAt[Leader] = Now;
}

void PictureRelay::start() {
  Tick = Loop.every(TickInterval, [this] { onTick(); });
}

bool PictureRelay::fresh() const {
  return Own.listed() && Source.fresh(Loop.now());
}

PictureReply PictureRelay::replyTo(StoreRevision After) const {
  PictureReply Out;
  if (Own.listed())
    Out = makeReply(Own.since(After));
  Out.Listed = Own.listed();
  Out.Fresh = fresh();
  Out.Age = Source.age(Loop.now());
  if (Source.lastFailure())
    Out.SinceFailure = Loop.now() - *Source.lastFailure();
  return Out;
}

void PictureRelay::replyAll() {
  std::vector<Follower> Waiting = std::move(Followers);
  Followers.clear();
  for (Follower &F : Waiting)
    F.Reply(MessageType::PictureReply, packBody(replyTo(F.After)));
}

void PictureRelay::onTick() {
  MonotonicTime Now = Loop.now();
  std::vector<Follower> Kept;
  std::vector<Follower> Due;
  for (Follower &F : Followers)
    (F.Until <= Now || !fresh() ? Due : Kept).push_back(std::move(F));
  Followers = std::move(Kept);
  for (Follower &F : Due)
    F.Reply(MessageType::PictureReply, packBody(replyTo(F.After)));
}

bool PictureRelay::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  if (Frame.Type != MessageType::PictureRequest)
    return false;
  Result<PictureRequest> Request = unpackBody<PictureRequest>(Frame.Body);
  if (!ok(Request)) {
    logWarn("picture",
            "event=bad_request reason=\"" + errorOf(Request).Message + "\"");
    return true;
  }
  const PictureRequest &R = valueOf(Request);
  bool HasNews = Own.revision() > R.After || !fresh();
  if (HasNews || R.Wait <= Duration(0))
    Reply(MessageType::PictureReply, packBody(replyTo(R.After)));
  else
    Followers.push_back({R.After, Loop.now() + R.Wait, std::move(Reply)});
  return true;
}

} // namespace mimosa
