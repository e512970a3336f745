#include "ownership/seat_keeper.h"

namespace mimosa {
namespace {

/// The hosts' views of the members differ for a while after a change; seats
/// that follow each of them would need a write each.
constexpr Duration CandidatesStable = Seconds(5);
/// Calls to a store that fails back off, as all hosts call it at once.
constexpr Duration FirstBackoff = Milliseconds(500);
constexpr Duration LongestBackoff = Seconds(30);
/// Pause between the attempts of different hosts to create the first record.
constexpr Duration CreateStagger = Seconds(1);
constexpr MonotonicTime Never = MonotonicTime::max();

} // namespace

SeatKeeper::SeatKeeper(HostId Self, Duration SubRequestLimit, Random &Rand,
                       MonotonicTime Now)
    : Self(std::move(Self)), SubRequestLimit(SubRequestLimit), Rand(Rand),
      Started(Now), CandidatesSince(Now), Backoff(FirstBackoff), ReadDue(Now),
      CallDue(Now), EmptySince(Now) {}

Duration SeatKeeper::jittered(Duration Base) {
  return Base + Duration(Rand.below(static_cast<uint64_t>(Base.count()) + 1));
}

void SeatKeeper::adopt(const SeatRecord &Newer) {
  if (Newer.Version <= Record.Version)
    return;
  Record = Newer;
  Voters = votersOf(Record);
  StoreVersion.reset();
  Acknowledged.clear();
  MajoritySince.reset();
}

bool SeatKeeper::isMajorityOfOthers(const std::vector<HostId> &Hosts) const {
  std::vector<HostId> Others;
  for (const HostId &Host : Hosts)
    if (Host != Self)
      Others.push_back(Host);
  return majorityOf(Others,
                    [&](const HostId &H) { return ToldBy.count(H) > 0; });
}

void SeatKeeper::peerTold(const HostId &From, const SeatRecord &Told,
                          bool PeerLearned, MonotonicTime AskedAt) {
  adopt(Told);
  bool Counts = PeerLearned && AskedAt >= Started + VoteLifetime;
  if (Learned || !Counts || From == Self)
    return;
  ToldBy.insert(From);
  // A majority that has refused lower versions shares a host with any majority
  // of the others, so the highest version told is one that is safe to use.
  Learned = Record.Version != SeatVersion() &&
            isMajorityOfOthers(Record.Seats) &&
            (Record.Previous.empty() || isMajorityOfOthers(Record.Previous));
}

void SeatKeeper::acknowledged(const HostId &VoterHost, SeatVersion Version,
                              MonotonicTime AskedAt, MonotonicTime Now) {
  if (Version != Record.Version)
    return;
  MonotonicTime &Last = Acknowledged[VoterHost];
  Last = std::max(Last, AskedAt);
  if (!MajoritySince && isConfirmed(Now))
    MajoritySince = Now;
}

bool SeatKeeper::isConfirmed(MonotonicTime Now) const {
  return hasMajority(Record, [&](const HostId &H) {
    auto Found = Acknowledged.find(H);
    return Found != Acknowledged.end() && Now < Found->second + LeaseLifetime;
  });
}

bool SeatKeeper::isSettled(MonotonicTime Now) const {
  return MajoritySince &&
         Now - *MajoritySince >= VoteLifetime + SubRequestLimit;
}

void SeatKeeper::setCandidates(std::vector<HostId> Hosts, MonotonicTime Now) {
  std::sort(Hosts.begin(), Hosts.end());
  if (Hosts == Candidates)
    return;
  Candidates = std::move(Hosts);
  CandidatesSince = Now;
}

std::optional<SeatRecord> SeatKeeper::nextRecord(bool MayChange,
                                                 MonotonicTime Now) const {
  SeatRecord Next;
  Next.Version = Record.Version.next();
  Next.Seats = Candidates;
  if (Record.Version == SeatVersion()) {
    auto Rank = std::find(Candidates.begin(), Candidates.end(), Self) -
                Candidates.begin();
    if (!StoreIsEmpty || Candidates.empty() ||
        Now - EmptySince < CreateStagger * Rank)
      return std::nullopt;
    return Next;
  }
  if (!MayChange)
    return std::nullopt;
  if (!Record.Previous.empty()) {
    if (!isSettled(Now))
      return std::nullopt;
    Next.Seats = Record.Seats;
    return Next;
  }
  std::vector<HostId> Present = Record.Seats;
  std::sort(Present.begin(), Present.end());
  if (Candidates.empty() || Candidates == Present ||
      Now - CandidatesSince < CandidatesStable)
    return std::nullopt;
  Next.Previous = Record.Seats;
  return Next;
}

void SeatKeeper::tick(bool MayChange, MonotonicTime Now,
                      OwnershipActions &Out) {
  if (MajoritySince && !isConfirmed(Now))
    MajoritySince.reset();
  if (StoreBusy || Now < CallDue)
    return;
  std::optional<SeatRecord> Next = nextRecord(MayChange, Now);
  if (Next && StoreVersion) {
    Writing = Next;
    StoreBusy = true;
    Out.emplace_back(WriteSeats{*Next, *StoreVersion});
    return;
  }
  // A record that was learned from a peer is read before it is changed.
  if (Next || Now >= ReadDue) {
    StoreBusy = true;
    Out.emplace_back(ReadSeats{});
  }
}

void SeatKeeper::seatsRead(const std::optional<SeatRecord> &Stored,
                           uint64_t Version, MonotonicTime Now) {
  StoreBusy = false;
  StoreHasFailed = false;
  Backoff = FirstBackoff;
  if (!Stored) {
    if (!StoreIsEmpty)
      EmptySince = Now;
    StoreIsEmpty = true;
    StoreVersion = 0;
    ReadDue = Now + CreateStagger;
    return;
  }
  StoreIsEmpty = false;
  adopt(*Stored);
  // A peer can have shown a version that was written after this read.
  if (Stored->Version == Record.Version)
    StoreVersion = Version;
  else
    CallDue = Now + FirstBackoff;
  Learned = true;
  ReadDue = Never;
}

void SeatKeeper::seatsWritten(uint64_t Version, MonotonicTime Now) {
  if (Writing)
    seatsRead(*std::exchange(Writing, std::nullopt), Version, Now);
}

void SeatKeeper::seatsConflict(MonotonicTime Now) {
  Writing.reset();
  StoreBusy = false;
  StoreVersion.reset();
  ReadDue = Now;
}

void SeatKeeper::storeFailed(MonotonicTime Now) {
  // Whether a write took effect is settled by reading back.
  if (Writing || !Learned)
    ReadDue = Now;
  if (Writing)
    StoreVersion.reset();
  Writing.reset();
  StoreBusy = false;
  StoreHasFailed = true;
  CallDue = Now + jittered(Backoff);
  Backoff = std::min(Backoff * 2, LongestBackoff);
}

} // namespace mimosa
