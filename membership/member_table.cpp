#include "membership/member_table.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace mimosa {

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Joining:
    return "joining";
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Dead:
    return "dead";
  }
  return "unknown";
}

namespace {

auto versionOf(const Member &Record) {
  return std::tuple(Record.HostIncarnation.number(), Record.Refutations);
}

/// \p Record as it is spread.
Member toSpread(const Member &Record) {
  bool IsNewLife =
      Record.State < MemberState::Suspect && Record.Refutations == 0;
  if (IsNewLife)
    return Record;
  Member Short;
  Short.Host = Record.Host;
  Short.HostIncarnation = Record.HostIncarnation;
  Short.Refutations = Record.Refutations;
  Short.State = Record.State;
  return Short;
}

bool isDead(const Member &Record) { return Record.State == MemberState::Dead; }

uint32_t ceilLog2(size_t Count) {
  uint32_t Log = 0;
  while ((size_t{1} << Log) < Count)
    ++Log;
  return Log;
}

} // namespace

bool replaces(const Member &Claim, const Member &Held) {
  if (versionOf(Claim) != versionOf(Held))
    return versionOf(Claim) > versionOf(Held);
  return Claim.State > Held.State;
}

MemberTable::MemberTable(Member Self, MemberTableOptions Options)
    : SelfId(Self.Host), Options(Options) {
  HostId Id = Self.Host;
  Members.emplace(Id, Entry{std::move(Self), std::nullopt, MonotonicTime()});
}

const Member *MemberTable::find(const HostId &Host) const {
  auto It = Members.find(Host);
  return It == Members.end() ? nullptr : &It->second.Record;
}

bool MemberTable::isPresent(const HostId &Host) const {
  const Member *Found = find(Host);
  return Found && !isDead(*Found);
}

std::vector<Member> MemberTable::present() const {
  std::vector<Member> Found;
  Found.reserve(PresentCount);
  for (const auto &[Host, Held] : Members)
    if (!isDead(Held.Record))
      Found.push_back(Held.Record);
  return Found;
}

std::vector<HostId> MemberTable::otherHosts(bool Dead) const {
  std::vector<HostId> Found;
  for (const auto &[Host, Held] : Members)
    if (Host != SelfId && isDead(Held.Record) == Dead)
      Found.push_back(Host);
  return Found;
}

std::vector<Member> MemberTable::all() const {
  std::vector<Member> Found;
  Found.reserve(Members.size());
  for (const auto &[Host, Held] : Members)
    Found.push_back(Held.Record);
  return Found;
}

uint64_t MemberTable::digest() const {
  uint64_t Sum = 0;
  for (const auto &[Host, Held] : Members) {
    if (isDead(Held.Record))
      continue;
    uint64_t Seed = hash64(std::to_string(Held.Record.Refutations),
                           Held.Record.HostIncarnation.number());
    Sum ^= hash64(Host.text(), Seed + static_cast<uint64_t>(Held.Record.State));
  }
  return Sum;
}

ClaimResult MemberTable::apply(const Member &Claim, MonotonicTime Now,
                               bool Spread) {
  if (Claim.Host.empty() || Claim.State > MemberState::Dead)
    return ClaimResult::Ignored;
  if (Claim.Host == SelfId)
    return applyToSelf(Claim);
  auto It = Members.find(Claim.Host);
  if (It != Members.end())
    return applyToOther(It->second, Claim, Now, Spread);
  if (isDead(Claim) || Claim.isShort())
    return ClaimResult::Ignored;
  Entry &Added = Members[Claim.Host];
  Added.Record.State = MemberState::Dead;
  set(Added, Claim, Now, Spread);
  Changes.back().Before.reset();
  return ClaimResult::Changed;
}

ClaimResult MemberTable::applyToOther(Entry &Held, Member Claim,
                                      MonotonicTime Now, bool Spread) {
  if (!replaces(Claim, Held.Record)) {
    bool ClaimedUp = isDead(Held.Record) && !isDead(Claim) &&
                     versionOf(Claim) == versionOf(Held.Record);
    return ClaimedUp ? ClaimResult::Conflicting : ClaimResult::Ignored;
  }
  if (isDead(Claim) && Held.Record.State == MemberState::Suspect)
    return ClaimResult::Ignored;
  if (isDead(Claim) && Held.Record.State < MemberState::Suspect)
    return ClaimResult::Conflicting;
  if (Claim.isShort()) {
    // The fields of a life that is not known here come with its probe reply.
    if (Claim.HostIncarnation != Held.Record.HostIncarnation)
      return ClaimResult::Conflicting;
    Claim.Zone = Held.Record.Zone;
    Claim.Region = Held.Record.Region;
    Claim.CallerAddress = Held.Record.CallerAddress;
  }
  set(Held, std::move(Claim), Now, Spread);
  return ClaimResult::Changed;
}

ClaimResult MemberTable::applyToSelf(const Member &Claim) {
  Entry &Own = Members.at(SelfId);
  if (!replaces(Claim, Own.Record))
    return ClaimResult::Ignored;
  Member Refuted = Own.Record;
  if (Claim.HostIncarnation > Refuted.HostIncarnation) {
    // An earlier life under this address started later by the wall clock.
    Refuted.HostIncarnation = Claim.HostIncarnation.next();
    Refuted.Refutations = 0;
  } else {
    Refuted.Refutations = Claim.Refutations + 1;
  }
  set(Own, std::move(Refuted), MonotonicTime(), true);
  return ClaimResult::Changed;
}

void MemberTable::set(Entry &Held, Member Record, MonotonicTime Now,
                      bool Spread) {
  bool WasDead = isDead(Held.Record);
  Changes.push_back({Record, Held.Record});
  Held.Record = std::move(Record);
  Held.DeadAt.reset();
  if (Held.Record.State == MemberState::Suspect)
    Held.DeadAt = Now + Options.SuspicionTime;
  if (isDead(Held.Record))
    Held.ForgetAt = Now + Options.DeadRetention;
  PresentCount += WasDead ? 1 : 0;
  PresentCount -= isDead(Held.Record) ? 1 : 0;
  if (!WasDead || !isDead(Held.Record))
    ++Version;
  if (Spread)
    spread(Held.Record.Host);
}

void MemberTable::spread(const HostId &Host) {
  uint32_t Rounds = std::max(1U, ceilLog2(PresentCount));
  RoundsLeft[Host] = Options.RoundsFactor * Rounds;
}

void MemberTable::setOwnState(MemberState State) {
  Entry &Own = Members.at(SelfId);
  Member Record = Own.Record;
  Record.State = State;
  set(Own, std::move(Record), MonotonicTime(), true);
}

void MemberTable::suspect(const HostId &Host, MonotonicTime Now) {
  auto It = Members.find(Host);
  if (It == Members.end() || Host == SelfId)
    return;
  Entry &Held = It->second;
  if (Held.Record.State == MemberState::Leaving && !Held.DeadAt)
    Held.DeadAt = Now + Options.SuspicionTime;
  if (Held.Record.State >= MemberState::Suspect)
    return;
  Member Record = Held.Record;
  Record.State = MemberState::Suspect;
  set(Held, std::move(Record), Now, true);
}

void MemberTable::confirm(const HostId &Host) {
  auto It = Members.find(Host);
  // A suspect must refute, because others hold it suspect as well.
  if (It != Members.end() && It->second.Record.State == MemberState::Leaving)
    It->second.DeadAt.reset();
}

void MemberTable::expire(MonotonicTime Now) {
  for (auto It = Members.begin(); It != Members.end();) {
    Entry &Held = It->second;
    if (Held.DeadAt && Now >= *Held.DeadAt) {
      Member Record = Held.Record;
      Record.State = MemberState::Dead;
      set(Held, std::move(Record), Now, true);
    }
    bool Forget = isDead(Held.Record) && Now >= Held.ForgetAt;
    if (Forget)
      RoundsLeft.erase(It->first);
    It = Forget ? Members.erase(It) : std::next(It);
  }
}

void MemberTable::restartSuspicions(MonotonicTime Now) {
  for (auto &[Host, Held] : Members)
    if (Held.DeadAt)
      Held.DeadAt = Now + Options.SuspicionTime;
}

std::vector<Member> MemberTable::takeUpdates() {
  std::vector<std::pair<uint32_t, HostId>> Queue;
  for (const auto &[Host, Rounds] : RoundsLeft)
    Queue.emplace_back(Rounds, Host);
  // The least spread records go first, so that a new one is not held up.
  std::stable_sort(
      Queue.begin(), Queue.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  if (Queue.size() > Options.MaxUpdatesPerMessage)
    Queue.resize(Options.MaxUpdatesPerMessage);
  std::vector<Member> Updates;
  for (const auto &[Rounds, Host] : Queue) {
    Updates.push_back(toSpread(Members.at(Host).Record));
    if (Rounds == 1)
      RoundsLeft.erase(Host);
    else
      --RoundsLeft[Host];
  }
  return Updates;
}

std::vector<MemberChanged> MemberTable::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace mimosa
