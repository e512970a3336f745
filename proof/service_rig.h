// A simulation of one service on three hosts: an Ownership and a Dispatcher per
// host, one BackendDirectory, and the queries of two roots, which run
// QuerySession, Quarantine, ClaimClient and ClaimOwner. The backend servers,
// the key-value service, the network and the clock are fakes.
//
//   ServiceRig Rig(InjectedBug::None);
//   Rig.runFlow(Step::Sent, {Fault::ReplicaLost});
//   check(Property::P1, Rig.Log);
//
// Host h0 is the preferred owner of partition 0, and h1 that of partition 1. In
// the flow of a host's start and stop, h0 starts and stops. Queries start at
// the roots h1 and h2. Bursts of queries run as background load beside the
// query that the flow is about.

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
  explicit ServiceRig(InjectedBug Bug);

  /// Runs the flow that \p At belongs to and injects \p Faults at that step.
  /// Returns false if the run did not reach \p At.
  bool runFlow(Step At, const std::vector<Fault> &Faults);

  EventLog Log;
  Timeline Time;
  FakeBackends Backends;

private:
  struct Host : DispatchPermission {
    std::unique_ptr<Ownership> Owner;
    std::unique_ptr<Dispatcher> Dispatch;
    uint64_t IncarnationNumber = 0;
    bool Up = false;
    bool Leaving = false;
    MonotonicTime PausedUntil;
    /// Callbacks that wait for the end of a pause.
    std::vector<std::function<void()>> Inbox;
    std::set<Partition> ReleasingPartitions;
    uint64_t Sequence = 0;

    bool mayDispatch(Partition P, MonotonicTime Now) const override {
      return Up && Owner->mayDispatch(P, Now);
    }
  };

  /// A query or non-idempotent request at its root.
  struct RunningQuery {
    std::string Id;
    std::string Key;
    size_t Root = 1;
    MonotonicTime Deadline;
    std::unique_ptr<QuerySession> Session;
    std::map<SubRequestNumber, uint64_t> SubRequestIds;
    MonotonicTime WakeUp = MonotonicTime::max();
    std::optional<Fingerprint> RequestFingerprint;
    /// Its id in the quarantine of the root; zero if it has none.
    RequestId QuarantineId;
    bool QuarantineEnded = false;
    ClaimSimulation::Attempt Claim;
    bool HoldsClaim = false;
    bool Answered = false;
  };
  using QueryPtr = std::shared_ptr<RunningQuery>;
  struct OutstandingSubRequest {
    QueryPtr Query;
    SubRequestNumber Number;
    size_t Backend = 0;
    size_t Owner = 0;
    SnapshotId Snapshot;

    bool ReachedOwner = false;
  };

  // service_rig.cpp: flows and faults.
  /// Injects the faults of the flow if they start at \p S.
  void reachStep(Step S);
  void inject(Fault F);
  void runQueryFlow();
  void runRequestFlow();
  void runHostFlow();
  void runZoneFlow();
  void startLoadBurst();

  // service_rig_hosts.cpp: hosts, store, network, configuration.
  static HostId hostName(size_t I);
  static size_t hostIndex(const HostId &Host);
  void startHost(size_t I);
  void updateMembership();
  void stopHost(size_t I);
  /// Ends the host once it has released all partitions.
  void endHostWhenReleased(size_t I);
  void endHost(size_t I);
  void pauseHost(size_t I);
  void onHost(size_t I, const std::function<void()> &Callback);
  void onDispatcher(size_t I, const FakeBackends::DispatcherCall &Call);
  void callOwnership(size_t I, const std::function<void(Ownership &)> &Call);
  void performActions(size_t I, DispatchActions &Actions);
  void tickHosts();
  void tickControlPlane();
  void finishReleases(size_t I);
  void reportSummary(size_t I, const SchedulerSummary &Summary);
  void publishState(size_t I);
  void announceOwnership(size_t I, const std::vector<Partition> &Owned);
  void configure(const Config &Document);
  Config firstConfig() const;
  template <typename T>
  void send(size_t From, const HostId &To, const T &Message,
            void (Ownership::*Handler)(const T &, MonotonicTime,
                                       OwnershipActions &));
  void perform(size_t I, SendVoteRequest &A);
  void perform(size_t I, SendVoteReply &A);
  void perform(size_t I, SendOwnershipRelease &A);
  void perform(size_t I, ReadVoterSet &A);
  void perform(size_t I, WriteVoterSet &A);
  void perform(size_t I, StartDispatch &A);
  void perform(size_t I, StopDispatch &A);

  // service_rig_queries.cpp: the roots.
  static Refusal toRefusal(RefusalReason Reason);
  QueryPtr startQuery(const std::string &Id, size_t Root,
                      const std::string &Key, bool KnownGood);
  void startCrashingQuery(const std::string &Id, size_t Root);
  void startSession(const QueryPtr &Q, bool KnownGood, uint32_t Strikes);
  void onClaimDecided(const QueryPtr &Q);
  void refuse(const QueryPtr &Q, ResultCode Code, Execution Outcome);
  void performActions(const QueryPtr &Q, QueryActions &Actions);
  void sendSubRequest(const QueryPtr &Q, const OutgoingSubRequest &Send);
  void submit(size_t Owner, size_t Backend, const SubRequest &Request);
  void cancel(const QueryPtr &Q, SubRequestNumber Number);
  void broadcastStrike(const QueryPtr &Q);
  void onReply(const SubRequestResult &Message);
  void deliverResult(const QueryPtr &Q, const OutstandingSubRequest &Sent,
                     const SubRequestResult &Message);
  void finishQuery(const QueryPtr &Q, QueryAnswer Answer);
  void callSession(const QueryPtr &Q,
                   const std::function<void(QueryActions &)> &Call);

  InjectedBug Bug;
  SeededRandom Rand{20261204};
  BackendDirectory Directory;
  ClaimSimulation Claims{3};
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Quarantine> Quarantines;
  std::unique_ptr<ConfigRig> Configs;
  std::vector<BackendSettings> Settings;
  /// Actions of the Ownership call in progress.
  OwnershipActions Out;
  std::vector<std::optional<HostId>> KnownOwners;
  MonotonicTime StoreSlowUntil;
  MonotonicTime NextSlowStoreReply;

  std::map<uint64_t, OutstandingSubRequest> OutstandingSubRequests;
  uint64_t LastSubRequestId = 0;
  std::vector<QueryPtr> AwaitingClaim;
  bool ClaimViolationRecorded = false;
  uint64_t LastQueryNumber = 0;

  std::optional<Step> TargetStep;
  std::vector<Fault> PendingFaults;
  bool StepReached = false;
  int LostReplicas = 0;
  int LastCrashQueryNumber = 0;
  int ConfigChanges = 0;
  /// The request of the previous reply (InjectedBug::RepliesSwapped).
  std::string PreviousReplyRequest = "nobody";
  /// The query that the flow is about.
  std::string Subject;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_SERVICE_RIG_H
