#include "base/random.h"
#include "config/config_holder.h"
#include "config/config_writer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const HostId A("10.0.0.1:1");
const HostId B("10.0.0.2:1");
const AvailabilityZoneId Zone("z1");

MonotonicTime at(int Ms) { return MonotonicTime(Milliseconds(Ms)); }

Config document(uint64_t Number, const std::string &ChangeId = "c") {
  Config Made;
  Made.ConfigRevision = Revision(Number);
  Made.ChangeId = ChangeId;
  return Made;
}

// Guards against a configuration that reverts (P10).
RC_GTEST_PROP(ConfigHolder, RevisionNeverFalls,
              (const std::vector<uint8_t> &Offers)) {
  ConfigHolder Holder(A, Zone);
  for (size_t I = 0; I < Offers.size(); ++I) {
    Revision Before = Holder.revision();
    bool Taken = Holder.applyIfNewer(document(Offers[I]),
                                     static_cast<ConfigSource>(I % 3));
    RC_ASSERT(Taken == (Revision(Offers[I]) > Before));
    RC_ASSERT(Holder.revision() == std::max(Before, Revision(Offers[I])));
  }
}

// Guards against a host that waits for ever on a peer that does not deliver.
TEST(ConfigHolder, AsksAnotherPeerAfterATimeout) {
  ConfigHolder Holder(HostId("self"), Zone);
  EXPECT_FALSE(Holder.onAnnouncement(A, Revision(0), at(0)));
  ASSERT_TRUE(Holder.onAnnouncement(A, Revision(2), at(0)));
  EXPECT_FALSE(Holder.onAnnouncement(B, Revision(2), at(1)));
  EXPECT_FALSE(Holder.onTick(at(999)));
  auto Next = Holder.onTick(at(1000));
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Peer, B);
  // A failed peer is asked again only after a pause and a new announcement.
  EXPECT_FALSE(Holder.onPullReply(B, std::nullopt, at(1100)));
  EXPECT_FALSE(Holder.onAnnouncement(A, Revision(2), at(1200)));
  EXPECT_FALSE(Holder.onTick(at(2900)));
  ASSERT_TRUE(Holder.onTick(at(3000)));
  EXPECT_FALSE(Holder.onPullReply(A, document(2), at(3100)));
  EXPECT_EQ(Holder.revision(), Revision(2));
  EXPECT_FALSE(Holder.onTick(at(9000)));
  EXPECT_EQ(Holder.counters().FailedPulls, 2u);
}

// Guards against none or more than two watches per zone, in equal views.
TEST(ConfigHolder, TwoWatchersPerZone) {
  std::vector<HostId> Hosts;
  for (int I = 1; I <= 9; ++I) {
    Hosts.push_back(HostId("10.0.0." + std::to_string(I) + ":1"));
    size_t Watchers = 0;
    for (const HostId &Host : Hosts) {
      ConfigHolder Holder(Host, Zone);
      Holder.setZoneHosts(Hosts);
      Watchers += Holder.isWatcher();
    }
    EXPECT_EQ(Watchers, std::min(Hosts.size(), WatchersPerZone));
  }
}

// A store that loses replies, refuses, and lets another writer in between.
class FakeStore {
public:
  explicit FakeStore(uint64_t Seed) : Choices(Seed) {}

  ConfigChangeResult run(ConfigWriter &Writer) {
    WriteStep Step = Writer.start();
    while (!std::holds_alternative<ConfigChangeResult>(Step)) {
      if (const auto *Write = std::get_if<CompareAndSwapConfig>(&Step))
        Step = write(Writer, *Write);
      else
        Step = read(Writer);
    }
    return std::get<ConfigChangeResult>(Step);
  }

  std::optional<StoredConfig> Stored;
  std::vector<std::string> History;
  bool Down = false;
  bool Faulty = true;

private:
  bool chance() { return Faulty && Choices.below(4) == 0; }

  void put(const Config &Document) {
    Stored =
        StoredConfig{printConfig(Document), Stored ? Stored->Version + 1 : 1};
    History.push_back(Document.ChangeId);
  }

  WriteStep read(ConfigWriter &Writer) {
    if (chance())
      interfere();
    if (Down || chance())
      return Writer.onReadFailed();
    return Writer.onRead(Stored);
  }

  WriteStep write(ConfigWriter &Writer, const CompareAndSwapConfig &Write) {
    if (Down)
      return Writer.onWriteFailed();
    if (chance())
      interfere();
    if (chance())
      return Writer.onWriteReplyLost();
    if ((Stored ? Stored->Version : 0) != Write.ExpectedVersion)
      return Writer.onVersionConflict(Stored);
    put(valueOf(parseConfig(Write.Value)));
    return chance() ? Writer.onWriteReplyLost() : Writer.onWritten();
  }

  void interfere() {
    Config Next = document(1, "other");
    if (Stored)
      Next.ConfigRevision =
          valueOf(parseConfig(Stored->Value)).ConfigRevision.next();
    put(Next);
  }

  SeededRandom Choices;
};

// Guards against a change reported wrongly after a lost reply or a race, and
// against one that takes effect twice.
RC_GTEST_PROP(ConfigWriter, OutcomeIsTrue, (uint64_t Seed)) {
  FakeStore Store(Seed);
  ConfigWriter Writer({Revision(0), "mine", Config()});
  ConfigChangeResult End = Store.run(Writer);
  auto Times = std::count(Store.History.begin(), Store.History.end(), "mine");
  RC_ASSERT(Times <= 1);
  if (End.Code == ResultCode::Ok)
    RC_ASSERT(Times == 1);
  else if (End.Code != ResultCode::OutcomeUnknown)
    RC_ASSERT(Times == 0);
  if (End.Code == ResultCode::Conflict)
    RC_ASSERT(End.StoredDocument && End.StoredDocument->ChangeId == "other");
}

// Guards against a change that hangs or is accepted while the store is down.
TEST(ConfigWriter, RefusedAtOnceWhileTheStoreIsDown) {
  FakeStore Store(1);
  Store.Down = true;
  Store.Faulty = false;
  ConfigWriter Writer({Revision(0), "mine", Config()});
  EXPECT_EQ(Store.run(Writer).Code, ResultCode::StoreUnavailable);
}

// Guards against an operator's repeated change that counts as a conflict, and
// against a second operator who overwrites the first.
TEST(ConfigWriter, RepeatIsOkAndSecondOperatorConflicts) {
  FakeStore Store(1);
  Store.Faulty = false;
  for (int Time = 0; Time < 2; ++Time) {
    ConfigWriter Writer({Revision(0), "mine", Config()});
    ConfigChangeResult End = Store.run(Writer);
    EXPECT_EQ(End.Code, ResultCode::Ok);
    EXPECT_EQ(End.StoredDocument->ConfigRevision, Revision(1));
  }
  ConfigWriter Second({Revision(0), "theirs", Config()});
  ConfigChangeResult End = Store.run(Second);
  EXPECT_EQ(End.Code, ResultCode::Conflict);
  EXPECT_EQ(End.StoredDocument->ChangeId, "mine");
  EXPECT_EQ(Store.History.size(), 1u);
}

} // namespace
} // namespace mimosa
