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
  Config Document;
  Document.ConfigRevision = Revision(Number);
  Document.ChangeId = ChangeId;
  return Document;
}

// Guards against a host that goes back to an older configuration.
RC_GTEST_PROP(ConfigHolder, RevisionNeverDecreases,
              (const std::vector<uint8_t> &Revisions)) {
  ConfigHolder Holder(A, Zone);
  for (size_t I = 0; I < Revisions.size(); ++I) {
    Revision Before = Holder.revision();
    bool Applied = Holder.applyIfNewer(document(Revisions[I]),
                                       static_cast<ConfigSource>(I % 3));
    RC_ASSERT(Applied == (Revision(Revisions[I]) > Before));
    RC_ASSERT(Holder.revision() == std::max(Before, Revision(Revisions[I])));
  }
}

// Guards against a host that waits forever for a peer that does not reply.
TEST(ConfigHolder, PullsFromAnotherPeerAfterATimeout) {
  ConfigHolder Holder(HostId("self"), Zone);
  EXPECT_FALSE(Holder.onAnnouncement(A, Revision(0), at(0)));
  ASSERT_TRUE(Holder.onAnnouncement(A, Revision(2), at(0)));
  EXPECT_FALSE(Holder.onAnnouncement(B, Revision(2), at(1)));
  EXPECT_FALSE(Holder.onTick(at(999)));
  auto Pull = Holder.onTick(at(1000));
  ASSERT_TRUE(Pull);
  EXPECT_EQ(Pull->Peer, B);
  // After a failed pull, the next one to the same peer needs PeerRetryDelay and
  // a new announcement of that peer.
  EXPECT_FALSE(Holder.onPullReply(B, std::nullopt, at(1100)));
  EXPECT_FALSE(Holder.onAnnouncement(A, Revision(2), at(1200)));
  EXPECT_FALSE(Holder.onTick(at(2900)));
  ASSERT_TRUE(Holder.onTick(at(3000)));
  EXPECT_FALSE(Holder.onPullReply(A, document(2), at(3100)));
  EXPECT_EQ(Holder.revision(), Revision(2));
  EXPECT_FALSE(Holder.onTick(at(9000)));
  EXPECT_EQ(Holder.counters().FailedPulls, 2u);
}

// Guards against a zone with no watcher or more than two, if all hosts have the
// same list of live hosts.
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

// A key-value service that is down, or that fails reads, loses replies and has
// another writer write between the steps of a change.
class FakeStore {
public:
  explicit FakeStore(uint64_t Seed) : Rng(Seed) {}

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
  bool IsDown = false;
  bool InjectFaults = true;

private:
  bool injectFault() { return InjectFaults && Rng.below(4) == 0; }

  void put(const Config &Document) {
    Stored =
        StoredConfig{printConfig(Document), Stored ? Stored->Version + 1 : 1};
    History.push_back(Document.ChangeId);
  }

  WriteStep read(ConfigWriter &Writer) {
    if (injectFault())
      writeConcurrently();
    if (IsDown || injectFault())
      return Writer.onReadFailed();
    return Writer.onRead(Stored);
  }

  WriteStep write(ConfigWriter &Writer, const CompareAndSwapConfig &Write) {
    if (IsDown)
      return Writer.onWriteFailed();
    if (injectFault())
      writeConcurrently();
    if (injectFault())
      return Writer.onWriteReplyLost();
    if ((Stored ? Stored->Version : 0) != Write.ExpectedVersion)
      return Writer.onVersionConflict(Stored);
    put(valueOf(parseConfig(Write.Value)));
    return injectFault() ? Writer.onWriteReplyLost() : Writer.onWritten();
  }

  void writeConcurrently() {
    Config Document = document(1, "other");
    if (Stored)
      Document.ConfigRevision =
          valueOf(parseConfig(Stored->Value)).ConfigRevision.next();
    put(Document);
  }

  SeededRandom Rng;
};

// Guards against a wrong result after a lost reply or a concurrent write, and
// against a change that takes effect twice.
RC_GTEST_PROP(ConfigWriter, ResultMatchesTheStore, (uint64_t Seed)) {
  FakeStore Store(Seed);
  ConfigWriter Writer({Revision(0), "mine", Config()});
  ConfigChangeResult Outcome = Store.run(Writer);
  auto WriteCount =
      std::count(Store.History.begin(), Store.History.end(), "mine");
  RC_ASSERT(WriteCount <= 1);
  if (Outcome.Code == ResultCode::Ok)
    RC_ASSERT(WriteCount == 1);
  else if (Outcome.Code != ResultCode::OutcomeUnknown)
    RC_ASSERT(WriteCount == 0);
  if (Outcome.Code == ResultCode::Conflict)
    RC_ASSERT(Outcome.StoredDocument &&
              Outcome.StoredDocument->ChangeId == "other");
}

// Guards against a change that hangs or is accepted while the store is down.
TEST(ConfigWriter, FailsAtOnceWhileTheStoreIsDown) {
  FakeStore Store(1);
  Store.IsDown = true;
  Store.InjectFaults = false;
  ConfigWriter Writer({Revision(0), "mine", Config()});
  EXPECT_EQ(Store.run(Writer).Code, ResultCode::StoreUnavailable);
}

// Guards against a conflict when an operator repeats a change, and against a
// second operator who overwrites the change of the first.
TEST(ConfigWriter, RepeatIsOkAndSecondOperatorConflicts) {
  FakeStore Store(1);
  Store.InjectFaults = false;
  for (int Time = 0; Time < 2; ++Time) {
    ConfigWriter Writer({Revision(0), "mine", Config()});
    ConfigChangeResult Outcome = Store.run(Writer);
    EXPECT_EQ(Outcome.Code, ResultCode::Ok);
    EXPECT_EQ(Outcome.StoredDocument->ConfigRevision, Revision(1));
  }
  ConfigWriter Second({Revision(0), "theirs", Config()});
  ConfigChangeResult Outcome = Store.run(Second);
  EXPECT_EQ(Outcome.Code, ResultCode::Conflict);
  EXPECT_EQ(Outcome.StoredDocument->ChangeId, "mine");
  EXPECT_EQ(Store.History.size(), 1u);
}

} // namespace
} // namespace mimosa
