#include "ownership/voter_set_manager.h"

namespace mimosa {
namespace {

/// How long the candidates must be unchanged before the voter set follows them.
/// Views of the membership differ for a while after a change, and following
/// each of them would cost a write each.
constexpr Duration CandidatesStableTime = Seconds(5);
/// Calls to a failing store back off, because all hosts call it at once.
constexpr Duration FirstBackoff = Milliseconds(500);
constexpr Duration LongestBackoff = Seconds(30);
/// Delay between the attempts of different hosts to create the first voter set.
constexpr Duration CreateStagger = Seconds(1);
constexpr MonotonicTime Never = MonotonicTime::max();

} // namespace

VoterSetManager::VoterSetManager(HostId Self, Duration SubRequestLimit,
                                 Random &Rand, MonotonicTime Now)
    : Self(std::move(Self)), SubRequestLimit(SubRequestLimit), Rand(Rand),
      Started(Now), CandidatesSince(Now), Backoff(FirstBackoff), NextRead(Now),
      NextStoreCall(Now), EmptySince(Now) {}

Duration VoterSetManager::jittered(Duration Base) {
  return Base + Duration(Rand.below(static_cast<uint64_t>(Base.count()) + 1));
}

void VoterSetManager::adopt(const VoterSet &Newer) {
  if (Newer.Version <= Set.Version)
    return;
  Set = Newer;
  Voters = votersOf(Set);
  StoreVersion.reset();
  Acknowledged.clear();
  MajoritySince.reset();
}

bool VoterSetManager::isMajorityOfPeers(
    const std::vector<HostId> &Hosts) const {
  std::vector<HostId> Others;
  for (const HostId &Host : Hosts)
    if (Host != Self)
      Others.push_back(Host);
  return majorityOf(Others,
                    [&](const HostId &H) { return Reporters.count(H) > 0; });
}

void VoterSetManager::onPeerReport(const HostId &From, const VoterSet &Reported,
                                   bool PeerRecovered,
                                   MonotonicTime RequestedAt) {
  adopt(Reported);
  bool Counts = PeerRecovered && RequestedAt >= Started + VoteLifetime;
  if (Recovered || !Counts || From == Self)
    return;
  Reporters.insert(From);
  // Any majority of the peers includes a voter of each majority that refuses
  // lower versions, so the highest version reported is safe to use.
  Recovered = Set.Version != VoterSetVersion() &&
              isMajorityOfPeers(Set.Current) &&
              (Set.Previous.empty() || isMajorityOfPeers(Set.Previous));
}

void VoterSetManager::recordAcknowledgement(const HostId &VoterHost,
                                            VoterSetVersion Version,
                                            MonotonicTime RequestedAt,
                                            MonotonicTime Now) {
  if (Version != Set.Version)
    return;
  MonotonicTime &Last = Acknowledged[VoterHost];
  Last = std::max(Last, RequestedAt);
  if (!MajoritySince && isAcknowledgedByMajority(Now))
    MajoritySince = Now;
}

bool VoterSetManager::isAcknowledgedByMajority(MonotonicTime Now) const {
  return hasMajority(Set, [&](const HostId &H) {
    auto Found = Acknowledged.find(H);
    return Found != Acknowledged.end() && Now < Found->second + LeaseLifetime;
  });
}

bool VoterSetManager::canEndJointPhase(MonotonicTime Now) const {
  return MajoritySince &&
         Now - *MajoritySince >= VoteLifetime + SubRequestLimit;
}

void VoterSetManager::setCandidates(std::vector<HostId> Hosts,
                                    MonotonicTime Now) {
  std::sort(Hosts.begin(), Hosts.end());
  if (Hosts == Candidates)
    return;
  Candidates = std::move(Hosts);
  CandidatesSince = Now;
}

std::optional<VoterSet> VoterSetManager::nextVoterSet(bool MayChange,
                                                      MonotonicTime Now) const {
  VoterSet Next;
  Next.Version = Set.Version.next();
  Next.Current = Candidates;
  if (Set.Version == VoterSetVersion()) {
    auto Rank = std::find(Candidates.begin(), Candidates.end(), Self) -
                Candidates.begin();
    if (!StoreIsEmpty || Candidates.empty() ||
        Now - EmptySince < CreateStagger * Rank)
      return std::nullopt;
    return Next;
  }
  if (!MayChange)
    return std::nullopt;
  if (!Set.Previous.empty()) {
    if (!canEndJointPhase(Now))
      return std::nullopt;
    Next.Current = Set.Current;
    return Next;
  }
  std::vector<HostId> Present = Set.Current;
  std::sort(Present.begin(), Present.end());
  if (Candidates.empty() || Candidates == Present ||
      Now - CandidatesSince < CandidatesStableTime)
    return std::nullopt;
  Next.Previous = Set.Current;
  return Next;
}

void VoterSetManager::tick(bool MayChange, MonotonicTime Now,
                           OwnershipActions &Out) {
  if (MajoritySince && !isAcknowledgedByMajority(Now))
    MajoritySince.reset();
  if (StoreCallInFlight || Now < NextStoreCall)
    return;
  std::optional<VoterSet> Next = nextVoterSet(MayChange, Now);
  if (Next && StoreVersion) {
    PendingWrite = Next;
    StoreCallInFlight = true;
    Out.emplace_back(WriteVoterSet{*Next, *StoreVersion});
    return;
  }
  // A voter set that came from a peer is read from the store before it is
  // changed.
  if (Next || Now >= NextRead) {
    StoreCallInFlight = true;
    Out.emplace_back(ReadVoterSet{});
  }
}

void VoterSetManager::onVoterSetRead(const std::optional<VoterSet> &Stored,
                                     uint64_t Version, MonotonicTime Now) {
  StoreCallInFlight = false;
  StoreHasFailed = false;
  Backoff = FirstBackoff;
  if (!Stored) {
    if (!StoreIsEmpty)
      EmptySince = Now;
    StoreIsEmpty = true;
    StoreVersion = 0;
    NextRead = Now + CreateStagger;
    return;
  }
  StoreIsEmpty = false;
  adopt(*Stored);
  // A peer may have sent a version that was written after this read.
  if (Stored->Version == Set.Version)
    StoreVersion = Version;
  else
    NextStoreCall = Now + FirstBackoff;
  Recovered = true;
  NextRead = Never;
}

void VoterSetManager::onVoterSetWritten(uint64_t Version, MonotonicTime Now) {
  if (PendingWrite)
    onVoterSetRead(*std::exchange(PendingWrite, std::nullopt), Version, Now);
}

void VoterSetManager::onVoterSetConflict(MonotonicTime Now) {
  PendingWrite.reset();
  StoreCallInFlight = false;
  StoreVersion.reset();
  NextRead = Now;
}

void VoterSetManager::onStoreFailure(MonotonicTime Now) {
  // Read back, to find out whether the write took effect.
  if (PendingWrite || !Recovered)
    NextRead = Now;
  if (PendingWrite)
    StoreVersion.reset();
  PendingWrite.reset();
  StoreCallInFlight = false;
  StoreHasFailed = true;
  NextStoreCall = Now + jittered(Backoff);
  Backoff = std::min(Backoff * 2, LongestBackoff);
}

} // namespace mimosa
