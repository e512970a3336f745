#include "store_cache/missing_entries.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

/// Within this time of its removal, a backend server may get requests.
constexpr Duration DrainLimit = Milliseconds(3000);

/// A source that answers a call at some times and fails at others, and an entry
/// that is found missing by one of the answers.
class Source {
public:
  void answer(int64_t AtMs) {
    MonotonicTime At{Milliseconds(AtMs)};
    Health.recordAnswer(At);
    Health.recordSuccess(At);
  }
  void fail(int64_t AtMs) {
    Health.recordFailure(MonotonicTime(Milliseconds(AtMs)));
  }
  /// An answer that lacks the entry; returns whether it is removed by it.
  bool answerWithout(const std::string &Id, int64_t AtMs) {
    MonotonicTime At{Milliseconds(AtMs)};
    Health.recordAnswer(At);
    bool Removed = Missing.recordMissing(Id, Health, At);
    Health.recordSuccess(At);
    return Removed;
  }
  bool removes(const std::string &Id) {
    std::vector<std::string> Removed = Missing.takeRemoved(Health);
    return Removed == std::vector<std::string>{Id};
  }

  SourceHealth Health;
  MissingEntries Missing;
};

// Guards against a server that gets requests for over 3 s after its removal,
// since the time to wait ran from when its entry was found missing (review case
// 5): the source is back at 5.7 s, and the entry is removed at 7.2 s.
TEST(MissingEntries, TimeRunsFromTheEndOfTheOutage) {
  Source S;
  S.answer(0);
  S.fail(4000);
  S.fail(5500);
  S.answer(5700);
  EXPECT_FALSE(S.answerWithout("i-0", 7200));
  EXPECT_EQ(
      S.Missing.nextCallWithin(S.Health, MonotonicTime(Milliseconds(7200))),
      Duration(Milliseconds(500)));
  S.answer(7600);
  EXPECT_FALSE(S.removes("i-0"));
  S.answer(7701);
  EXPECT_TRUE(S.removes("i-0"));
  EXPECT_TRUE(S.Missing.empty());
  EXPECT_FALSE(
      S.Missing.nextCallWithin(S.Health, MonotonicTime(Milliseconds(7701))));
  // Later, an entry that goes missing has not expired in the outage.
  EXPECT_TRUE(S.answerWithout("i-1", 7750));
}

// Guards against watches that are cut again and again, which would keep a
// removed server in use for ever.
TEST(MissingEntries, ShortFailuresInQuickSuccessionDelayNoRemoval) {
  Source S;
  S.answer(0);
  S.fail(1000);
  S.answer(1150);
  EXPECT_FALSE(S.answerWithout("i-0", 1500));
  bool Removed = false;
  int64_t At = 1500;
  while (!Removed && At < 10000) {
    At += 350;
    S.fail(At);
    At += 150;
    S.answer(At);
    Removed = S.removes("i-0");
  }
  EXPECT_LE(Duration(Milliseconds(At - 1500)), DrainLimit);
}

// Guards against running servers that are removed because a second outage kept
// them from writing their entries again.
TEST(MissingEntries, LaterOutageDelaysTheRemoval) {
  Source S;
  S.answer(0);
  S.fail(1000);
  EXPECT_FALSE(S.answerWithout("i-0", 5000));
  for (int64_t At = 5500; At <= 9500; At += 500)
    S.fail(At);
  EXPECT_FALSE(S.removes("i-0"));
  S.answer(10000);
  EXPECT_FALSE(S.removes("i-0"));
  S.Missing.recordPresent("i-0");
  S.answer(12500);
  EXPECT_FALSE(S.removes("i-0"));
}

// Guards against a follower that does not know of its leader's outage, and
// against one whose own failure the leader's report hides.
TEST(MissingEntries, FollowersWaitForTheLaterRecovery) {
  for (bool OwnFailure : {false, true}) {
    Source S;
    S.answer(0);
    if (OwnFailure) {
      S.fail(3000);
      S.answer(4000);
    }
    S.Health.recordReportedRecovery(MonotonicTime(Milliseconds(3500)));
    int64_t RecoveredMs = OwnFailure ? 4000 : 3500;
    EXPECT_FALSE(S.answerWithout("i-0", RecoveredMs + 1000));
    S.answer(RecoveredMs + 1990);
    EXPECT_FALSE(S.removes("i-0"));
    S.answer(RecoveredMs + 2001);
    EXPECT_TRUE(S.removes("i-0"));
  }
}

// Guards against a follower that failed itself and waits for a leader that did
// not, whose last call to the store was long ago.
TEST(MissingEntries, OverdueRemovalIsConfirmedElsewhere) {
  Source S;
  S.answer(0);
  S.fail(3000);
  S.answer(4000);
  EXPECT_FALSE(S.answerWithout("i-0", 4100));
  // Replies of the leader, which say how old its knowledge is.
  S.Health.recordSuccess(MonotonicTime(Milliseconds(4100)));
  EXPECT_FALSE(S.removes("i-0"));
  EXPECT_FALSE(S.Missing.overdue(S.Health, MonotonicTime(Milliseconds(6200))));
  EXPECT_TRUE(S.Missing.overdue(S.Health, MonotonicTime(Milliseconds(6300))));
  S.answer(6310);
  EXPECT_TRUE(S.removes("i-0"));
  EXPECT_FALSE(S.Missing.overdue(S.Health, MonotonicTime(Milliseconds(6310))));
}

// Without any failure, an entry that is missing was removed.
TEST(MissingEntries, CountAsRemovedAtOnceWithoutAFailure) {
  Source S;
  S.answer(0);
  EXPECT_TRUE(S.answerWithout("i-0", 1000));
  EXPECT_TRUE(S.Missing.empty());
}

} // namespace
} // namespace mimosa
