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

/// The form of \p Record that is sent in gossip.
Member gossipRecord(const Member &Record) {
  bool IsNewIncarnation =
      Record.State < MemberState::Suspect && Record.Refutations == 0;
  if (IsNewIncarnation)
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

bool overrides(const Member &Update, const Member &Existing) {
  if (versionOf(Update) != versionOf(Existing))
    return versionOf(Update) > versionOf(Existing);
  return Update.State > Existing.State;
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
  for (const auto &[Host, Existing] : Members)
    if (!isDead(Existing.Record))
      Found.push_back(Existing.Record);
  return Found;
}

std::vector<HostId> MemberTable::otherHosts(bool Dead) const {
  std::vector<HostId> Found;
  for (const auto &[Host, Existing] : Members)
    if (Host != SelfId && isDead(Existing.Record) == Dead)
      Found.push_back(Host);
  return Found;
}

std::vector<Member> MemberTable::all() const {
  std::vector<Member> Found;
  Found.reserve(Members.size());
  for (const auto &[Host, Existing] : Members)
    Found.push_back(Existing.Record);
  return Found;
}

uint64_t MemberTable::digest() const {
  uint64_t Sum = 0;
  for (const auto &[Host, Existing] : Members) {
    if (isDead(Existing.Record))
      continue;
    uint64_t Seed = hash64(std::to_string(Existing.Record.Refutations),
                           Existing.Record.HostIncarnation.number());
    Sum ^= hash64(Host.text(),
                  Seed + static_cast<uint64_t>(Existing.Record.State));
  }
  return Sum;
}

UpdateResult MemberTable::apply(const Member &Update, MonotonicTime Now,
                                bool Gossip) {
  if (Update.Host.empty() || Update.State > MemberState::Dead)
    return UpdateResult::Ignored;
  if (Update.Host == SelfId)
    return applyToSelf(Update);
  auto It = Members.find(Update.Host);
  if (It != Members.end())
    return applyToOther(It->second, Update, Now, Gossip);
  if (isDead(Update) || Update.isShort())
    return UpdateResult::Ignored;
  Entry &Added = Members[Update.Host];
  Added.Record.State = MemberState::Dead;
  set(Added, Update, Now, Gossip);
  Changes.back().Before.reset();
  return UpdateResult::Changed;
}

UpdateResult MemberTable::applyToOther(Entry &Existing, Member Update,
                                       MonotonicTime Now, bool Gossip) {
  if (!overrides(Update, Existing.Record)) {
    bool IsConflict = isDead(Existing.Record) && !isDead(Update) &&
                      versionOf(Update) == versionOf(Existing.Record);
    return IsConflict ? UpdateResult::Conflicting : UpdateResult::Ignored;
  }
  if (isDead(Update) && Existing.Record.State == MemberState::Suspect)
    return UpdateResult::Ignored;
  if (isDead(Update) && Existing.Record.State < MemberState::Suspect)
    return UpdateResult::Conflicting;
  if (Update.isShort()) {
    // The missing fields of a new incarnation come with its reply to a probe.
    if (Update.HostIncarnation != Existing.Record.HostIncarnation)
      return UpdateResult::Conflicting;
    Update.Zone = Existing.Record.Zone;
    Update.Region = Existing.Record.Region;
    Update.CallerAddress = Existing.Record.CallerAddress;
  }
  set(Existing, std::move(Update), Now, Gossip);
  return UpdateResult::Changed;
}

UpdateResult MemberTable::applyToSelf(const Member &Update) {
  Entry &Own = Members.at(SelfId);
  if (!overrides(Update, Own.Record))
    return UpdateResult::Ignored;
  Member Refuted = Own.Record;
  if (Update.HostIncarnation > Refuted.HostIncarnation) {
    // An earlier incarnation under this address had a later start time, because
    // the wall clock went back.
    Refuted.HostIncarnation = Update.HostIncarnation.next();
    Refuted.Refutations = 0;
  } else {
    Refuted.Refutations = Update.Refutations + 1;
  }
  set(Own, std::move(Refuted), MonotonicTime(), true);
  return UpdateResult::Changed;
}

void MemberTable::set(Entry &Existing, Member Record, MonotonicTime Now,
                      bool Gossip) {
  bool WasDead = isDead(Existing.Record);
  Changes.push_back({Record, Existing.Record});
  Existing.Record = std::move(Record);
  Existing.DeadAt.reset();
  if (Existing.Record.State == MemberState::Suspect)
    Existing.DeadAt = Now + Options.SuspicionTime;
  if (isDead(Existing.Record))
    Existing.ForgetAt = Now + Options.DeadRetention;
  PresentCount += WasDead ? 1 : 0;
  PresentCount -= isDead(Existing.Record) ? 1 : 0;
  if (!WasDead || !isDead(Existing.Record))
    ++Version;
  if (Gossip)
    enqueueGossip(Existing.Record.Host);
}

void MemberTable::enqueueGossip(const HostId &Host) {
  uint32_t Rounds = std::max(1U, ceilLog2(PresentCount));
  GossipRoundsLeft[Host] = Options.GossipRoundsFactor * Rounds;
}

void MemberTable::setOwnState(MemberState State) {
  Entry &Own = Members.at(SelfId);
  Member Record = Own.Record;
  Record.State = State;
  set(Own, std::move(Record), MonotonicTime(), true);
}

void MemberTable::recordProbeFailure(const HostId &Host, MonotonicTime Now) {
  auto It = Members.find(Host);
  if (It == Members.end() || Host == SelfId)
    return;
  Entry &Existing = It->second;
  if (Existing.Record.State == MemberState::Leaving && !Existing.DeadAt)
    Existing.DeadAt = Now + Options.SuspicionTime;
  if (Existing.Record.State >= MemberState::Suspect)
    return;
  Member Record = Existing.Record;
  Record.State = MemberState::Suspect;
  set(Existing, std::move(Record), Now, true);
}

void MemberTable::recordProbeReply(const HostId &Host) {
  auto It = Members.find(Host);
  // A suspect has to refute the suspicion, because other hosts suspect it too.
  if (It != Members.end() && It->second.Record.State == MemberState::Leaving)
    It->second.DeadAt.reset();
}

void MemberTable::expire(MonotonicTime Now) {
  for (auto It = Members.begin(); It != Members.end();) {
    Entry &Existing = It->second;
    if (Existing.DeadAt && Now >= *Existing.DeadAt) {
      Member Record = Existing.Record;
      Record.State = MemberState::Dead;
      set(Existing, std::move(Record), Now, true);
    }
    bool Forget = isDead(Existing.Record) && Now >= Existing.ForgetAt;
    if (Forget)
      GossipRoundsLeft.erase(It->first);
    It = Forget ? Members.erase(It) : std::next(It);
  }
}

void MemberTable::restartSuspicionTimers(MonotonicTime Now) {
  for (auto &[Host, Existing] : Members)
    if (Existing.DeadAt)
      Existing.DeadAt = Now + Options.SuspicionTime;
}

std::vector<Member> MemberTable::takeUpdates() {
  std::vector<std::pair<uint32_t, HostId>> Queue;
  for (const auto &[Host, Rounds] : GossipRoundsLeft)
    Queue.emplace_back(Rounds, Host);
  // The records sent in the fewest rounds go first, so that old ones do not
  // delay a new one.
  std::stable_sort(
      Queue.begin(), Queue.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  if (Queue.size() > Options.MaxUpdatesPerMessage)
    Queue.resize(Options.MaxUpdatesPerMessage);
  std::vector<Member> Updates;
  for (const auto &[Rounds, Host] : Queue) {
    Updates.push_back(gossipRecord(Members.at(Host).Record));
    if (Rounds == 1)
      GossipRoundsLeft.erase(Host);
    else
      --GossipRoundsLeft[Host];
  }
  return Updates;
}

std::vector<MemberChanged> MemberTable::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace mimosa
