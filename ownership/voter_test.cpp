#include "ownership/ownership.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

const HostId Self("h1");
const HostId Other("h2");
const VoterSet Voters{VoterSetVersion(2), {Self}, {}};

MonotonicTime at(int64_t Ms) { return MonotonicTime(Milliseconds(Ms)); }

VoteRequest request(const HostId &From, uint64_t Sequence, uint64_t Version) {
  VoteRequest R;
  R.Candidate = From;
  R.CandidateIncarnation = Incarnation(1);
  R.Sequence = VoteSequence(Sequence);
  R.Version = VoterSetVersion(Version);
  R.Partitions = {Partition(0)};
  return R;
}

// Guards against a vote that a voter must not grant: too soon after its start,
// without a recovered voter set, under another version, or while another host
// holds its vote.
TEST(Voter, VotesOnlyWhenItMay) {
  struct Case {
    const char *Name;
    bool Recovered;
    uint64_t Version;
    int64_t AtMs;
    bool HasOtherVote;
    bool Grants;
  };
  const Case Cases[] = {
      {"free", true, 2, 5000, false, true},
      {"abstains", true, 2, 1499, false, false},
      {"abstention is over", true, 2, 1500, false, true},
      {"voter set not recovered", false, 2, 5000, false, false},
      {"older version", true, 1, 5000, false, false},
      {"newer version not sent", true, 3, 5000, false, false},
      {"bound", true, 2, 5000, true, false},
  };
  for (const Case &C : Cases) {
    SeededRandom Rand(1);
    VoterSetManager VoterSets(Self, Milliseconds(1000), Rand, at(0));
    VoterSets.adopt(Voters);
    if (C.Recovered)
      VoterSets.onVoterSetRead(Voters, 1, at(0));
    Voter V(Self, Milliseconds(1000), at(0));
    if (C.HasOtherVote) {
      VoteReply First = V.answer(request(Other, 1, 2), VoterSets, at(4000));
      ASSERT_EQ(First.Granted.size(), 1U) << C.Name;
    }
    VoteReply Reply =
        V.answer(request(Self, 1, C.Version), VoterSets, at(C.AtMs));
    EXPECT_EQ(Reply.Granted.size(), C.Grants ? 1U : 0U) << C.Name;
  }
}

// Guards against a lease that starts at the receipt of a late vote.
TEST(Ownership, LeaseCountsFromTheTimeOfSending) {
  SeededRandom Rand(1);
  OwnershipOptions Options;
  Options.Self = Self;
  Options.SelfIncarnation = Incarnation(1);
  Ownership O(Options, Rand, at(0));
  OwnershipActions Out;
  O.setPartitions({{Partition(0), Self}}, at(0), Out);
  O.onVoterSetRead(VoterSet{VoterSetVersion(1), {Other}, {}}, 1, at(0));
  O.tick(at(5000), Out);
  VoteReply Reply;
  Reply.Voter = Other;
  Reply.CandidateIncarnation = Incarnation(1);
  Reply.Sequence = VoteSequence(1);
  Reply.Version = VoterSetVersion(1);
  Reply.Granted = {{Partition(0), Duration::zero()}};
  O.onVoteReply(Reply, at(6000), Out);
  EXPECT_TRUE(O.mayDispatch(Partition(0), at(6480)));
  EXPECT_FALSE(O.mayDispatch(Partition(0), at(6485)));
}

} // namespace
} // namespace mimosa
