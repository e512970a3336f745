// One service on three hosts: their Ownership and Dispatcher instances, a
// BackendDirectory, and the queries of two roots, which run QuerySession,
// Quarantine, ClaimClient and ClaimOwner. The backend servers, the key-value
// service, the network and the clock are fakes.
//
//   ServiceRig Rig(Break::None);
//   Rig.runFlow(Step::Sent, {Fault::ReplicaLost});
//   check(Property::P1, Rig.Seen);
//
// Host h0 is the preferred owner of partition 0 and, in the host's flow, the
// one that starts and stops; h1 is that of partition 1. Queries start at the
// roots h1 and h2. A steady load of bursts of queries runs beside the query
// that the flow is about.

#ifndef MIMOSA_PROOF_SERVICE_RIG_H
#define MIMOSA_PROOF_SERVICE_RIG_H

#include "claim/claim_simulation_test_util.h"
#include "ownership/ownership.h"
#include "proof/config_rig.h"
#include "proof/fake_backends.h"
#include "quarantine/quarantine.h"
#include "query/session.h"

namespace mimosa {

class ServiceRig {
public:
  explicit ServiceRig(Break Broken);

  /// Runs the flow of \p At with \p Faults; false if it never came to \p At.
  bool runFlow(Step At, const std::vector<Fault> &Faults);

  Record Seen;
  Timeline Time;
  FakeBackends Backends;

private:
  struct Host : DispatchPermission {
    std::unique_ptr<Ownership> Owner;
    std::unique_ptr<Dispatcher> Gates;
    uint64_t Life = 0;
    bool Up = false;
    bool Leaving = false;
    MonotonicTime PausedUntil;
    std::vector<std::function<void()>> Inbox;
    std::set<Partition> Ending;
    uint64_t Sequence = 0;

    bool mayDispatch(Partition P, MonotonicTime Now) const override {
      return Up && Owner->mayDispatch(P, Now);
    }
  };

  /// A query at its root.
  struct Running {
    std::string Id;
    std::string Key;
    size_t Root = 1;
    MonotonicTime Deadline;
    std::unique_ptr<QuerySession> Session;
    std::map<SubRequestNumber, uint64_t> Numbers;
    MonotonicTime WakeUp = MonotonicTime::max();
    std::optional<Fingerprint> Print;
    RequestId GuardId;
    bool GuardEnded = false;
    ClaimSimulation::Attempt Claim;
    bool Claimed = false;
    bool Answered = false;
  };
  using Query = std::shared_ptr<Running>;
  struct Outstanding {
    Query Of;
    SubRequestNumber Number;
    size_t Backend = 0;
    size_t Owner = 0;
    SnapshotId Snapshot;
    /// It has reached its owner.
    bool Arrived = false;
  };

  // service_rig.cpp: flows and faults.
  void reach(Step S);
  void inject(Fault F);
  void runQueries();
  void runRequest();
  void runHost();
  void runZone();
  void load();

  // service_rig_hosts.cpp: hosts, store, network, configuration.
  static HostId hostName(size_t I);
  static size_t hostIndex(const HostId &Host);
  void boot(size_t I);
  void view();
  void stopHost(size_t I);
  void awaitRelease(size_t I);
  void endHost(size_t I);
  void pause(size_t I);
  void onHost(size_t I, const std::function<void()> &Do);
  void onGates(size_t I, const FakeBackends::HostCall &Call);
  void with(size_t I, const std::function<void(Ownership &)> &What);
  void carryOut(size_t I, DispatchActions &Actions);
  void tickHosts();
  void tickClaims();
  void finishReleases(size_t I);
  void report(size_t I, const SchedulerSummary &Summary);
  void publish(size_t I);
  void announce(size_t I, const std::vector<Partition> &Owned);
  void configure(const Config &Document);
  Config firstConfig() const;
  template <typename T>
  void send(size_t From, const HostId &To, const T &Message,
            void (Ownership::*Handler)(const T &, MonotonicTime,
                                       OwnershipActions &));
  void act(size_t I, SendVoteRequest &A);
  void act(size_t I, SendVoteReply &A);
  void act(size_t I, SendOwnershipRelease &A);
  void act(size_t I, ReadVoterSet &A);
  void act(size_t I, WriteVoterSet &A);
  void act(size_t I, StartDispatch &A);
  void act(size_t I, StopDispatch &A);

  // service_rig_queries.cpp: the roots.
  static Refusal refusalFor(RefusalReason Reason);
  Query begin(const std::string &Id, size_t Root, const std::string &Key,
              bool KnownGood);
  void beginCrash(const std::string &Id, size_t Root);
  void beginSession(const Query &Q, bool KnownGood, uint32_t Strikes);
  void awaitClaim(const Query &Q);
  void refuse(const Query &Q, ResultCode Code, Execution Outcome);
  void carryOut(const Query &Q, QueryActions &Actions);
  void ask(const Query &Q, const OutgoingSubRequest &Send);
  void submit(size_t Owner, size_t Backend, const SubRequest &Work);
  void cancel(const Query &Q, SubRequestNumber Number);
  void strike(const Query &Q);
  void onReply(const SubRequestResult &Message);
  void settle(const Query &Q, const Outstanding &Sent,
              const SubRequestResult &Message);
  void answer(const Query &Q, QueryAnswer Given);
  void callSession(const Query &Q,
                   const std::function<void(QueryActions &)> &Call);

  Break Broken;
  SeededRandom Rand{20261204};
  BackendDirectory Directory;
  ClaimSimulation Claims{3};
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Quarantine> Guards;
  std::unique_ptr<ConfigRig> Configs;
  std::vector<BackendSettings> Settings;
  OwnershipActions Out;
  std::vector<std::optional<HostId>> KnownOwners;
  MonotonicTime SlowUntil;
  MonotonicTime NextSlowReply;

  std::map<uint64_t, Outstanding> BySubRequest;
  uint64_t LastSubRequest = 0;
  std::vector<Query> Waiting;
  bool ClaimBreachNoted = false;
  uint64_t LastQuery = 0;

  std::optional<Step> Wanted;
  std::vector<Fault> Pending;
  bool Reached = false;
  int LostReplicas = 0;
  int CrashBursts = 0;
  int ConfigChanges = 0;
  /// The request of the reply before (Break::RepliesCrossed).
  std::string CrossedRequest = "nobody";
  /// The query that the flow is about.
  std::string Subject;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_SERVICE_RIG_H
