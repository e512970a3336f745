#include "shared_limit/shared_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <xxhash.h>

namespace mimosa {

namespace {
/// Part of the margin of the rule that bursts may use if the limit's own burst
/// is smaller: a level of less than some tokens cannot be divided among hosts.
constexpr double BurstPartOfMargin = 0.125;
/// Part of the margin that stands in for the shares of hosts that are not
/// connected. The rest is left for tokens that are taken at the same moment.
constexpr double RatePartOfMargin = 0.85;
/// Part of an unused burst that stands in for them, too. The rest is left for
/// changes of the shares: a window may begin with another share.
constexpr double BurstPartOfBound = 0.65;
/// Part of the margin that a host may use while the others may not know of it.
constexpr double UnknownPartOfMargin = 0.5;
/// Hosts that lose another one notice it at slightly different times. A group
/// changes when their reports have differed for this long, three rounds.
constexpr Duration UnfitTime = Milliseconds(600);
/// Tokens are promised to refused callers for at most this long in advance.
constexpr Duration LongestPromise = Seconds(5);
/// More hosts and limits than any deployment has; reports of others are
/// ignored.
constexpr size_t MaxPeers = 4096;
constexpr size_t MaxLimits = 65536;
/// Levels are not refilled more often, since that visits all limits.
constexpr Duration AdvanceInterval = Milliseconds(1);
/// Fewer unacknowledged tokens cause no report before the next round: most
/// limits are used rarely, and a request that is refused for this reason causes
/// one.
constexpr int64_t EarlyReportTokens = 2;

uint32_t hashOf(const HostId &Id) {
  return XXH32(Id.text().data(), Id.text().size(), 0);
}

Duration secondsOf(double Value) {
  constexpr double Longest = 3600;
  return Duration(static_cast<int64_t>(std::min(Value, Longest) * 1e6));
}
} // namespace

double SharedLimits::margin(const Bucket &B) const {
  return (B.Rate * inSeconds(Options.Window) + B.Burst) * Options.Overage +
         Options.Slack;
}

double SharedLimits::capacity(const Bucket &B) const {
  return std::max({B.Burst, margin(B) * BurstPartOfMargin, 1.0});
}

double SharedLimits::shareOf(const Peer &P) const {
  if (!P.HasShare)
    return 0;
  double Own = equalShare();
  return P.SharingHosts > 0 ? std::max(1.0 / P.SharingHosts, Own) : Own;
}

double SharedLimits::share(const Bucket &B) const {
  if (!UnknownUntil)
    return Share;
  double Bound = B.Rate * inSeconds(Options.Window) + B.Burst;
  return std::min(Share,
                  Bound > 0 ? UnknownPartOfMargin * margin(B) / Bound : 1.0);
}

void SharedLimits::updateShare(MonotonicTime Now) {
  if (shareIsKnown() || Members == 0 || (UnknownUntil && Now >= *UnknownUntil))
    UnknownUntil.reset();
  OwnShare = 0;
  Share = 0;
  if (!Joined || forgotten(Now) || connectedShareCount() == 0)
    return;
  OwnShare = 1;
  for (const auto &[Id, P] : Peers)
    if (!P.Connected)
      OwnShare -= shareOf(P);
  OwnShare = std::max(OwnShare, 0.0);
  Share = OwnShare;
  for (const auto &[Id, P] : Peers)
    if (P.Connected && P.Settled)
      Share = std::min(Share, P.Share);
}

double SharedLimits::shareOfCapacity(const Bucket &B) const {
  double Share = share(B);
  return Share > 0 ? std::max(capacity(B) * Share, 1.0) : 0;
}

double SharedLimits::baseRate(const Bucket &B) const {
  double Share = share(B);
  double Spare =
      margin(B) * RatePartOfMargin / inSeconds(Options.Window) * Share;
  return B.Rate * Share + std::min(B.Rate * (1 - Share), Spare);
}

double SharedLimits::boundOfWindow(const Bucket &B) const {
  return share(B) * (B.Rate * inSeconds(Options.Window) +
                     B.Burst * BurstPartOfBound + margin(B) * RatePartOfMargin);
}

double SharedLimits::roomInWindow(const Bucket &B) const {
  // Each connected host may be taking a token at this moment.
  return boundOfWindow(B) - static_cast<double>(B.AllUse.Total) -
         static_cast<double>(connectedCount()) / 2;
}

double SharedLimits::effectiveRate(const Bucket &B) const {
  double Base = baseRate(B);
  if (share(B) >= 1 || roomInWindow(B) <= 0)
    return Base;
  // Somewhat more than the rate makes up for what was not used until a host was
  // found to be lost.
  return std::max(Base, std::min(B.Rate * (1 + Options.Overage),
                                 boundOfWindow(B) / inSeconds(Options.Window)));
}

void SharedLimits::UseWindow::add(int64_t Tokens, Duration SlotTime,
                                  MonotonicTime Now) {
  int64_t Slot = Now.time_since_epoch() / SlotTime;
  int64_t Expired =
      std::min<int64_t>(Slot - Last, static_cast<int64_t>(WindowSlots));
  for (int64_t I = 1; I <= Expired; ++I) {
    int64_t &Oldest = Slots[static_cast<size_t>(Last + I) % WindowSlots];
    Total -= Oldest;
    Oldest = 0;
  }
  Last = Slot;
  Slots[static_cast<size_t>(Slot) % WindowSlots] += Tokens;
  Total += Tokens;
}

int64_t SharedLimits::UseWindow::sum(size_t Before) const {
  int64_t Out = 0;
  for (size_t I = 0; I <= std::min(Before, WindowSlots - 1); ++I)
    Out += Slots[(static_cast<size_t>(Last) - I) % WindowSlots];
  return Out;
}

int64_t SharedLimits::usedWithin(const Bucket &B, Duration Time) const {
  return B.AllUse.sum(static_cast<size_t>(Time / slotTime()) + 1);
}

int64_t SharedLimits::unacknowledged(const Bucket &B) const {
  return std::max<int64_t>(B.Used - B.AckedUsed, 0);
}

double SharedLimits::ownPart(const Bucket &B) const {
  auto Connected = static_cast<double>(connectedCount());
  double Level = B.Level + static_cast<double>(unacknowledged(B));
  // More hosts than the margin covers could take their token within one round
  // trip, but a team that sends so many requests has a larger margin, too. With
  // less than one token each, 28 hosts refused teams with a full level.
  return std::max(Level / Connected, 1.0);
}

bool SharedLimits::windowIsFull(const Bucket &B) const {
  return B.BoundUntil > *AdvancedAt && roomInWindow(B) <= 0;
}

TokenObstacle SharedLimits::obstacleToAll() const {
  if (!Joined)
    return TokenObstacle::NotSharing;
  if (!Settled)
    return TokenObstacle::Unsettled;
  if (Share > 0)
    return TokenObstacle::None;
  if (forgotten(*AdvancedAt))
    return TokenObstacle::Forgotten;
  if (connectedShareCount() == 0)
    return TokenObstacle::NotListed;
  return TokenObstacle::Reserved;
}

TokenObstacle SharedLimits::obstacleTo(const Bucket &B) const {
  TokenObstacle ToAll = obstacleToAll();
  if (ToAll != TokenObstacle::None)
    return ToAll;
  if (B.Level < 1)
    return TokenObstacle::Used;
  if (windowIsFull(B))
    return TokenObstacle::WindowFull;
  if (connectedCount() > 1 &&
      static_cast<double>(unacknowledged(B) + 1) > ownPart(B))
    return TokenObstacle::Unacknowledged;
  return TokenObstacle::None;
}

TokenObstacle SharedLimits::obstacle(MonotonicTime Now) {
  advance(Now);
  return obstacleToAll();
}

bool SharedLimits::sharing(MonotonicTime Now) const {
  return !Stopped &&
         (SelfListed || (AskedAt && Now - *AskedAt < SharingMemory));
}

SharedLimits::Bucket *SharedLimits::find(const SharedLimitKey &Key) {
  auto It = Buckets.find(Key);
  return It == Buckets.end() || It->second.Rate <= 0 ? nullptr : &It->second;
}

bool SharedLimits::empty() const {
  return std::none_of(Buckets.begin(), Buckets.end(),
                      [](const auto &B) { return B.second.Rate > 0; });
}

void SharedLimits::setLimit(const SharedLimitKey &Key, double Rate,
                            double Burst) {
  auto It = Buckets.find(Key);
  bool New = It == Buckets.end() || It->second.Rate <= 0;
  if (New && Rate <= 0)
    return;
  // Reports about unknown limits are not applied, so the others' use of the
  // first ones is not known yet.
  if (Joined && empty()) {
    Settled = false;
    StartedAt = *AdvancedAt;
    updateSettled(*AdvancedAt);
  }
  // A limit that is removed keeps its count, which others compare with the last
  // one that they know.
  Bucket &B = Buckets[Key];
  B.Rate = std::max(Rate, 0.0);
  B.Burst = std::max(Burst, 0.0);
  B.Level = std::min(New ? tokensSinceJoin(B) : B.Level, shareOfCapacity(B));
  B.LevelIsKnown = New ? Settled : B.LevelIsKnown;
  for (auto &[Id, P] : Peers)
    if (New && P.HasShare && !P.Connected)
      P.Usage[Key].Withheld =
          std::min(capacity(B), tokensSinceJoin(B)) * equalShare();
}

double SharedLimits::tokensSinceJoin(const Bucket &B) const {
  return Joined ? B.Rate * inSeconds(*AdvancedAt - JoinedAt) : 0;
}

void SharedLimits::addTokens(Bucket &B, double Tokens) const {
  B.Level = std::max(std::min(B.Level + Tokens, shareOfCapacity(B)),
                     std::min(B.Level, B.Level + Tokens));
}

void SharedLimits::join(MonotonicTime Now) {
  Joined = true;
  Settled = false;
  StartedAt = Now;
  JoinedAt = Now;
  becomeUnknown(Now);
  EarlyReportWanted = true;
  for (auto &[Id, P] : Peers)
    P.HasFull = false;
  updateShare(Now);
  // Tokens that were saved up may have been used just before, by this host or,
  // if all have started, by any.
  for (auto &[Key, B] : Buckets) {
    B.Level = 0;
    B.LevelIsKnown = false;
    for (auto &[Id, P] : Peers)
      P.Usage[Key].Withheld = 0;
  }
  updateSettled(Now);
}

void SharedLimits::updateSettled(MonotonicTime Now) {
  bool AllConnected =
      connectedShareCount() > 0 && connectedShareCount() == shareCount();
  Settled = Settled ||
            (Joined && (AllConnected || Now - StartedAt >= ContactTimeout));
}

void SharedLimits::setHosts(const std::vector<HostId> &Hosts,
                            MonotonicTime Now) {
  if (Hosts.empty())
    return;
  advance(Now);
  bool Listed = std::find(Hosts.begin(), Hosts.end(), Self) != Hosts.end();
  if (Listed && !SelfListed)
    becomeUnknown(Now);
  SelfListed = Listed;
  std::set<HostId> Named(Hosts.begin(), Hosts.end());
  Named.erase(Self);
  for (const HostId &Host : Named)
    Peers[Host];
  for (auto &[Id, P] : Peers) {
    bool Listed = Named.count(Id) > 0;
    if (Listed || P.Listed)
      P.SeenAt = Now;
    // A host that is listed anew may take its share before it is heard.
    bool Anew = Listed && !P.Listed;
    P.Leaving = P.Leaving && !Anew;
    P.Spare = P.Spare && !Anew;
    P.Listed = Listed;
  }
  confirmHosts(Now);
  updateConnections(Now);
  if (!Joined && sharing(Now))
    join(Now);
}

void SharedLimits::addSeeds(const std::vector<HostId> &Hosts,
                            MonotonicTime Now) {
  for (const HostId &Host : Hosts)
    if (Host != Self)
      Peers[Host].SeenAt = Now;
}

void SharedLimits::confirmHosts(MonotonicTime Now) {
  if (!SelfListed)
    return;
  if (ConfirmedAt && Now - *ConfirmedAt > ListingMemory)
    becomeUnknown(Now);
  ConfirmedAt = Now;
}

void SharedLimits::becomeUnknown(MonotonicTime Now) {
  UnknownUntil = Now + SharingMemory;
  UnknownSequence = Sequence + 1;
  EarlyReportWanted = true;
}

bool SharedLimits::shareIsKnown() const {
  return std::any_of(Peers.begin(), Peers.end(), [this](const auto &Each) {
    return Each.second.Connected &&
           Each.second.AckedSequence >= UnknownSequence;
  });
}

size_t SharedLimits::connectedShareCount() const {
  size_t Out = SelfListed ? 1 : 0;
  for (const auto &[Id, P] : Peers)
    Out += P.Connected && P.HasShare ? 1 : 0;
  return Out;
}

bool SharedLimits::forgotten(MonotonicTime Now) const {
  return ConfirmedAt && Now - *ConfirmedAt > ListingMemory &&
         2 * connectedShareCount() <= shareCount();
}

std::optional<uint64_t> SharedLimits::acknowledgedSequence() const {
  std::optional<uint64_t> Out;
  for (const auto &[Id, P] : Peers)
    if (P.Connected)
      Out = std::min(Out.value_or(UINT64_MAX), P.AckedSequence);
  return Out;
}

void SharedLimits::withhold(Peer &P, double Part, Duration Unheard) {
  for (auto &[Key, B] : Buckets) {
    // What it may have taken meanwhile: its part of the level as it was when it
    // was last heard, and of the refill.
    double Most = capacity(B) + B.Rate * inSeconds(Unheard);
    if (Unheard > Duration(0))
      Most =
          std::min(Most, B.Level + static_cast<double>(usedWithin(B, Unheard)));
    double Tokens = std::min(Most * Part, std::max(B.Level, 0.0));
    B.Level -= Tokens;
    P.Usage[Key].Withheld = Tokens;
  }
}

void SharedLimits::setMember(Peer &P, bool Member, MonotonicTime Now) {
  if (P.Member == Member)
    return;
  P.Member = Member;
  Members += Member ? 1 : -1;
  setConnected(P, false);
  P.InContact = false;
  P.AckedSentAt.reset();
  P.DisconnectedAt = Now;
}

bool SharedLimits::released(const Peer &P, MonotonicTime Now) const {
  // A listed host that is not heard may have learned meanwhile that it is.
  return (P.Leaving || P.Spare) && Now >= P.ReleasedAt &&
         (!P.Listed || Now - P.HeardAt < ListingMemory);
}

void SharedLimits::setHasShare(Peer &P, bool HasShare) {
  if (P.HasShare == HasShare)
    return;
  P.HasShare = HasShare;
  PeerShares += HasShare ? 1 : -1;
  if (HasShare && !P.Connected)
    withhold(P, shareOf(P), Duration(0));
}

void SharedLimits::setConnected(Peer &P, bool Connected) {
  if (P.Connected != Connected)
    Connections += Connected ? 1 : -1;
  P.Connected = Connected;
}

void SharedLimits::disconnect(Peer &P, MonotonicTime Now) {
  // A host without a share may have taken its part of the common level.
  double Part =
      P.HasShare ? shareOf(P) : 1.0 / static_cast<double>(connectedCount());
  setConnected(P, false);
  P.DisconnectedAt = Now;
  withhold(P, Part,
           P.AckedSentAt
               ? std::min<Duration>(Now - *P.AckedSentAt, 2 * ContactTimeout)
               : ContactTimeout);
}

void SharedLimits::connect(Peer &P, MonotonicTime Now) {
  double Away = inSeconds(Now - P.DisconnectedAt);
  setConnected(P, true);
  for (auto &[Key, B] : Buckets) {
    PeerUsage &U = P.Usage[Key];
    double Used = static_cast<double>(U.Reported - U.Counted);
    double Refilled = B.Rate * shareOf(P) * Away;
    double Returned = std::min(U.Withheld - std::max(Used - Refilled, 0.0),
                               std::max(U.Level, 0.0));
    if (Returned >= 0)
      addTokens(B, Returned);
    else
      B.Level = std::max(std::min(B.Level, 0.0), B.Level + Returned);
    if (!Settled && P.Settled) {
      double Theirs = std::min(U.Level, shareOfCapacity(B));
      B.Level = B.LevelIsKnown ? std::min(B.Level, Theirs) : Theirs;
      B.LevelIsKnown = true;
    }
    // What it can have used of its share within the current window.
    double Recent = (B.Rate * inSeconds(Options.Window) + B.Burst) * shareOf(P);
    B.AllUse.add(static_cast<int64_t>(std::clamp(Used, 0.0, Recent)),
                 slotTime(), Now);
    U.Counted = U.Reported;
    U.Withheld = 0;
  }
}

void SharedLimits::updateContacts(MonotonicTime Now) {
  for (auto &[Id, P] : Peers) {
    bool Released = released(P, Now);
    bool Known = P.Listed || (P.SeenAt && Now - *P.SeenAt < SharingMemory);
    bool Member = Known && !(P.Leaving && Released);
    setMember(P, Member, Now);
    setHasShare(P, Member && !Released);
    bool InContact = Member && !P.Leaving && P.HasFull && Joined &&
                     P.AckedSentAt && Now - *P.AckedSentAt <= ContactTimeout &&
                     !(P.AskedSince && Now - *P.AskedSince > ReplyTimeout);
    GroupChanged = GroupChanged || InContact != P.InContact;
    P.InContact = InContact;
    if (P.Connected && !InContact)
      disconnect(P, Now);
  }
}

std::set<HostId> SharedLimits::chooseGroup() const {
  struct Candidate {
    HostId Id;
    uint32_t Hash;
    const Peer *State;
    bool HasShare;
    size_t Degree;
  };
  std::vector<Candidate> Candidates = {
      {Self, hashOf(Self), nullptr, SelfListed, 0}};
  for (const auto &[Id, P] : Peers)
    if (P.InContact)
      Candidates.push_back({Id, hashOf(Id), &P, P.HasShare, 0});
  auto Reports = [](const Candidate &A, const Candidate &B) {
    return !A.State || std::binary_search(A.State->Contacts.begin(),
                                          A.State->Contacts.end(), B.Hash);
  };
  auto Adjacent = [&](const Candidate &A, const Candidate &B) {
    return Reports(A, B) && Reports(B, A);
  };
  for (Candidate &A : Candidates)
    for (const Candidate &B : Candidates)
      A.Degree += A.Id != B.Id && Adjacent(A, B) ? 1 : 0;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              if (A.HasShare != B.HasShare)
                return A.HasShare;
              return A.Degree != B.Degree ? A.Degree > B.Degree : A.Id < B.Id;
            });
  std::vector<const Candidate *> Group;
  for (const Candidate &Each : Candidates)
    if (std::all_of(Group.begin(), Group.end(), [&](const Candidate *Other) {
          return Adjacent(Each, *Other);
        }))
      Group.push_back(&Each);
  std::set<HostId> Out;
  for (const Candidate *Each : Group)
    Out.insert(Each->Id);
  return Out.count(Self) ? Out : std::set<HostId>{Self};
}

void SharedLimits::updateConnections(MonotonicTime Now) {
  updateContacts(Now);
  if (GroupChanged) {
    std::set<HostId> Group = chooseGroup();
    for (auto &[Id, P] : Peers) {
      P.FitsGroup = Group.count(Id) > 0;
      bool Fits = P.FitsGroup && P.InGroup;
      P.UnfitSince = Fits           ? std::nullopt
                     : P.UnfitSince ? P.UnfitSince
                                    : std::optional(Now);
      if (Fits && !P.Connected)
        connect(P, Now);
      else if (P.Connected && P.UnfitSince && Now - *P.UnfitSince >= UnfitTime)
        disconnect(P, Now);
    }
    GroupChanged = false;
  }
  updateShare(Now);
  applyAcks();
  updateSettled(Now);
}

void SharedLimits::resumeAfterPause(MonotonicTime Now) {
  for (auto &[Id, P] : Peers) {
    setConnected(P, false);
    P.InContact = false;
    P.AckedSentAt.reset();
    P.HasFull = false;
    P.DisconnectedAt = Now;
    // The others may have shared the limits until just now.
    if (P.Member)
      P.SeenAt = Now;
  }
  updateShare(Now);
  for (auto &[Key, B] : Buckets) {
    B.Level = std::min(B.Level, shareOfCapacity(B));
    for (auto &[Id, P] : Peers)
      if (P.HasShare)
        P.Usage[Key].Withheld = capacity(B) * equalShare();
  }
  Settled = false;
  StartedAt = Now;
  EarlyReportWanted = true;
}

void SharedLimits::refill(Duration Elapsed) {
  for (auto &[Key, B] : Buckets) {
    B.AllUse.add(0, slotTime(), *AdvancedAt);
    B.OwnUse.add(0, slotTime(), *AdvancedAt);
    double Rate = effectiveRate(B);
    if (Rate > baseRate(B))
      B.BoundUntil = *AdvancedAt + Options.Window;
    addTokens(B, Rate * inSeconds(Elapsed));
  }
}

void SharedLimits::advance(MonotonicTime Now) {
  Duration Elapsed = AdvancedAt ? Now - *AdvancedAt : Duration(0);
  if (AdvancedAt && Elapsed < AdvanceInterval)
    return;
  AdvancedAt = Now;
  if (Elapsed > ContactTimeout)
    resumeAfterPause(Now);
  updateConnections(Now);
  if (Elapsed <= ContactTimeout)
    refill(Elapsed);
}

bool SharedLimits::admit(const SharedLimitKey &Key, MonotonicTime Now) {
  Bucket *B = find(Key);
  if (!B)
    return true;
  AskedAt = Now;
  advance(Now);
  if (!Joined && sharing(Now))
    join(Now);
  if (!mayTake(*B)) {
    ++B->Refused;
    EarlyReportWanted = EarlyReportWanted || (Settled && B->Level >= 1);
    return false;
  }
  B->Level -= 1;
  ++B->Used;
  B->AllUse.add(1, slotTime(), Now);
  B->OwnUse.add(1, slotTime(), Now);
  EarlyReportWanted =
      EarlyReportWanted ||
      (connectedCount() > 1 && unacknowledged(*B) >= EarlyReportTokens &&
       static_cast<double>(unacknowledged(*B)) * 2 >= ownPart(*B));
  return true;
}

void SharedLimits::refund(const SharedLimitKey &Key, MonotonicTime Now) {
  Bucket *B = find(Key);
  if (!B)
    return;
  advance(Now);
  addTokens(*B, 1);
  --B->Used;
  B->AllUse.add(-1, slotTime(), Now);
  B->OwnUse.add(-1, slotTime(), Now);
}

Duration SharedLimits::availableIn(const SharedLimitKey &Key,
                                   MonotonicTime Now) {
  Bucket *B = find(Key);
  if (!B)
    return Duration(0);
  advance(Now);
  if (mayTake(*B))
    return Duration(0);
  if (windowIsFull(*B))
    return slotTime();
  if (!Joined || !Settled)
    return UsageReportInterval;
  if (B->Level >= 1)
    return EarlyReportInterval;
  double Rate = effectiveRate(*B);
  return Rate > 0 ? secondsOf((1 - B->Level) / Rate) : ContactTimeout;
}

Duration SharedLimits::retryAfter(const SharedLimitKey &Key,
                                  MonotonicTime Now) {
  MonotonicTime At = Now + availableIn(Key, Now);
  Bucket *B = find(Key);
  double Rate = B ? effectiveRate(*B) : 0;
  if (Rate <= 0)
    return At - Now;
  // The other hosts promise tokens, too, by what they use of them.
  double Part = 1.0 / static_cast<double>(connectedCount());
  if (B->AllUse.Total > 0)
    Part = std::max(Part, static_cast<double>(B->OwnUse.Total) /
                              static_cast<double>(B->AllUse.Total));
  Rate *= std::min(Part, 1.0);
  MonotonicTime Promised = std::max(At, B->PromisedUntil);
  B->PromisedUntil =
      std::min(Promised + secondsOf(1 / Rate), At + LongestPromise);
  return Promised - Now;
}

void SharedLimits::beginReport(MonotonicTime Now) {
  ++Sequence;
  SentAt.emplace_back(Sequence, Now);
  while (Now - SentAt.front().second > 2 * ContactTimeout)
    SentAt.pop_front();
  for (auto &[Key, B] : Buckets) {
    int64_t Last = B.SentUsed.empty() ? B.AckedUsed : B.SentUsed.back().second;
    if (B.Used != Last)
      B.SentUsed.emplace_back(Sequence, B.Used);
  }
}

SharedUsage SharedLimits::makeReport(Peer &P, bool WantsReply,
                                     MonotonicTime Now) const {
  if (WantsReply && !P.AskedSince) {
    P.AskedSequence = Sequence;
    P.AskedSince = Now;
  }
  SharedUsage Out;
  Out.Sender = Self;
  Out.Process = Process;
  Out.Sequence = Sequence;
  Out.AckedProcess = P.Process;
  Out.AckedSequence = P.HasFull ? P.HeardSequence : 0;
  Out.Full = !P.Connected;
  Out.Settled = Settled;
  Out.Leaving = !Joined;
  Out.Spare = !SelfListed;
  Out.WantsReply = WantsReply;
  Out.SharingHosts = static_cast<uint32_t>(shareCount());
  Out.Share = OwnShare;
  Out.InGroup = P.FitsGroup;
  for (const auto &[Id, Other] : Peers)
    if (Other.InContact)
      Out.Contacts.push_back(hashOf(Id));
  std::sort(Out.Contacts.begin(), Out.Contacts.end());
  for (const auto &[Key, B] : Buckets)
    if (!B.SentUsed.empty() ||
        (Out.Full && (B.Used != 0 || B.Level < capacity(B))))
      Out.Usage.push_back({Key, B.Used, B.Level});
  return Out;
}

std::vector<AddressedUsage> SharedLimits::makeReports(MonotonicTime Now,
                                                      bool WantReplies) {
  beginReport(Now);
  std::vector<AddressedUsage> Out;
  for (auto &[Id, P] : Peers)
    if (P.Member)
      Out.push_back({Id, makeReport(P, WantReplies || !P.Connected, Now)});
  return Out;
}

bool SharedLimits::earlyReportDue(MonotonicTime Now) const {
  return earlyReportWanted() && Now - LastReportAt >= EarlyReportInterval;
}

std::vector<AddressedUsage> SharedLimits::takeReports(MonotonicTime Now) {
  for (const auto &[Id, P] : Peers)
    GroupChanged = GroupChanged || (P.Connected && P.UnfitSince);
  advance(Now);
  if (!Joined)
    return {};
  bool Leaves = !sharing(Now);
  if (Leaves) {
    for (auto &[Id, P] : Peers)
      setConnected(P, false);
    Joined = false;
  }
  bool WantReplies = EarlyReportWanted && !Leaves;
  EarlyReportWanted = false;
  LastReportAt = Now;
  return makeReports(Now, WantReplies);
}

std::vector<AddressedUsage> SharedLimits::leave(MonotonicTime Now) {
  Stopped = true;
  return takeReports(Now);
}

bool SharedLimits::accept(Peer &P, const SharedUsage &Report,
                          MonotonicTime Now) {
  if (Report.Process != P.Process) {
    if (Report.Process == P.FormerProcess)
      return false;
    if (P.Connected)
      disconnect(P, Now);
    P.FormerProcess = P.Process;
    P.Process = Report.Process;
    P.HeardSequence = 0;
    P.AckedSequence = 0;
    P.AckedSentAt.reset();
    P.HasFull = false;
  }
  if (Report.Sequence <= P.HeardSequence)
    return false;
  P.HeardSequence = Report.Sequence;
  return true;
}

void SharedLimits::applyUsage(Peer &P, const SharedUsage &Report,
                              MonotonicTime Now) {
  bool First = Report.Full && !P.HasFull;
  P.HasFull = P.HasFull || Report.Full;
  P.Settled = Report.Settled;
  P.SharingHosts = Report.SharingHosts;
  P.Share = Report.Share;
  GroupChanged = GroupChanged || P.InGroup != Report.InGroup ||
                 P.Contacts != Report.Contacts;
  P.InGroup = Report.InGroup;
  P.Contacts = Report.Contacts;
  std::sort(P.Contacts.begin(), P.Contacts.end());
  if (First)
    for (auto &[Key, U] : P.Usage)
      U.Counted = U.Reported = 0;
  if (Report.Full)
    for (auto &[Key, U] : P.Usage)
      U.Level = std::numeric_limits<double>::infinity();
  // What a process has used before this host began to count is part of its own
  // share, unless it has just started.
  bool FromZero = Settled && !Report.Settled;
  for (const LimitUsage &Each : Report.Usage) {
    if (P.Usage.size() >= MaxLimits && !P.Usage.count(Each.Key))
      continue;
    auto Known = P.Usage.find(Each.Key);
    PeerUsage &U = Known == P.Usage.end() ? P.Usage[Each.Key] : Known->second;
    U.Reported = Each.Used;
    U.Level = Each.Level;
    if (First && !FromZero)
      U.Counted = Each.Used;
    auto It = Buckets.find(Each.Key);
    if (!P.Connected)
      continue;
    if (It != Buckets.end()) {
      addTokens(It->second, static_cast<double>(U.Counted - U.Reported));
      It->second.AllUse.add(U.Reported - U.Counted, slotTime(), Now);
    }
    U.Counted = U.Reported;
  }
}

void SharedLimits::applyShareState(Peer &P, const SharedUsage &Report,
                                   MonotonicTime Now) {
  bool Releases = Report.Leaving || Report.Spare;
  if (Releases && !P.Leaving && !P.Spare) {
    // What a host has taken while it was not connected is not known here. The
    // first process that is known of a host is an exception.
    bool Unused =
        Report.Full && P.FormerProcess == Incarnation() &&
        std::all_of(Report.Usage.begin(), Report.Usage.end(),
                    [](const LimitUsage &Each) { return Each.Used == 0; });
    P.ReleasedAt =
        P.Connected || !P.HasShare || Unused ? Now : Now + Options.Window;
  }
  P.Leaving = Report.Leaving;
  P.Spare = Report.Spare;
  P.HeardAt = Now;
}

void SharedLimits::recordAck(Peer &P, const SharedUsage &Report) {
  if (Report.AckedProcess != Process || Report.AckedSequence < P.AckedSequence)
    return;
  P.AckedSequence = Report.AckedSequence;
  if (P.AckedSequence >= P.AskedSequence)
    P.AskedSince.reset();
  auto It = std::lower_bound(
      SentAt.begin(), SentAt.end(), Report.AckedSequence,
      [](const auto &Sent, uint64_t Wanted) { return Sent.first < Wanted; });
  if (It != SentAt.end() && It->first == Report.AckedSequence)
    P.AckedSentAt = It->second;
}

void SharedLimits::applyAcks() {
  std::optional<uint64_t> Acked = acknowledgedSequence();
  for (auto &[Key, B] : Buckets) {
    while (!B.SentUsed.empty() &&
           (!Acked || B.SentUsed.front().first <= *Acked)) {
      B.AckedUsed = B.SentUsed.front().second;
      B.SentUsed.pop_front();
    }
    // A host that is connected to no other has its share to itself.
    if (!Acked)
      B.AckedUsed = B.Used;
  }
}

bool SharedLimits::valid(const SharedUsage &Report) {
  // Sums of counts must not overflow.
  constexpr int64_t MostUsed = int64_t{1} << 53;
  return !Report.Sender.empty() && Report.Contacts.size() <= MaxPeers &&
         Report.Usage.size() <= MaxLimits && Report.SharingHosts <= MaxPeers &&
         Report.Share >= 0 && Report.Share <= 1 &&
         std::all_of(Report.Usage.begin(), Report.Usage.end(),
                     [](const LimitUsage &Each) {
                       return std::isfinite(Each.Level) &&
                              Each.Used >= -MostUsed && Each.Used <= MostUsed;
                     });
}

std::optional<AddressedUsage>
SharedLimits::applyReport(const SharedUsage &Report, MonotonicTime Now) {
  if (Report.Sender == Self)
    return std::nullopt;
  if (Peers.size() >= MaxPeers && !Peers.count(Report.Sender))
    return std::nullopt;
  advance(Now);
  Peer &P = Peers[Report.Sender];
  if (!accept(P, Report, Now))
    return std::nullopt;
  applyUsage(P, Report, Now);
  applyShareState(P, Report, Now);
  P.SeenAt = Now;
  recordAck(P, Report);
  updateConnections(Now);
  bool AskForReply = !P.Connected && P.Member &&
                     Now - P.AskedForReplyAt >= EarlyReportInterval;
  // A host that does not share the limits says so.
  AskForReply = AskForReply && Joined;
  if (!Report.WantsReply && !AskForReply)
    return std::nullopt;
  if (AskForReply)
    P.AskedForReplyAt = Now;
  beginReport(Now);
  return AddressedUsage{Report.Sender, makeReport(P, AskForReply, Now)};
}

SharedLimitState SharedLimits::state(const SharedLimitKey &Key,
                                     MonotonicTime Now) {
  Bucket *B = find(Key);
  if (!B)
    return {};
  advance(Now);
  return {B->Level, effectiveRate(*B), B->Used, B->Refused, obstacleTo(*B)};
}

const char *SharedLimits::whyDisconnected(const Peer &P,
                                          MonotonicTime Now) const {
  if (P.Leaving)
    return "leaving";
  if (!P.HasFull)
    return "unheard";
  if (!P.AckedSentAt)
    return "unacknowledged";
  if (Now - *P.AckedSentAt > ContactTimeout)
    return "silent";
  if (!P.InContact)
    return "no_reply";
  return P.FitsGroup ? "outside_its_group" : "outside_group";
}

std::string SharedLimits::describeDisconnected(MonotonicTime Now) const {
  constexpr size_t MaxNames = 5;
  std::string Out;
  size_t Count = 0;
  for (const auto &[Id, P] : Peers)
    if (P.Member && !P.Connected && ++Count <= MaxNames) {
      char Details[64];
      std::snprintf(Details, sizeof(Details), "(%s,%.3f)",
                    whyDisconnected(P, Now), shareOf(P));
      Out += (Out.empty() ? "" : ",") + Id.text() + Details;
    }
  return Out.empty() ? "-" : Out;
}

const char *nameOf(TokenObstacle Obstacle) {
  switch (Obstacle) {
  case TokenObstacle::None:
    return "none";
  case TokenObstacle::NotSharing:
    return "not_sharing";
  case TokenObstacle::Unsettled:
    return "unsettled";
  case TokenObstacle::NotListed:
    return "not_listed";
  case TokenObstacle::Forgotten:
    return "forgotten";
  case TokenObstacle::Reserved:
    return "reserved_for_others";
  case TokenObstacle::WindowFull:
    return "window_full";
  case TokenObstacle::Used:
    return "used";
  case TokenObstacle::Unacknowledged:
    return "unacknowledged";
  }
  return "unknown";
}

} // namespace mimosa
