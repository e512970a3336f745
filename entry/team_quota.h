// The quotas of teams, which all hosts share: connects SharedLimits with the
// clock, the frames between hosts and the metrics.
//
//   TeamQuota Quota(Loop, Peers, Self, Process, Options, Metrics);
//   Quota.setTeams(Teams);
//   Quota.setHosts(ServingHosts);
//   if (!Quota.admit(Team, Deadline))
//     refuse(Quota.retryAfter(Team, Rng));

#ifndef MIMOSA_ENTRY_TEAM_QUOTA_H
#define MIMOSA_ENTRY_TEAM_QUOTA_H

#include "base/random.h"
#include "routing/route.h"
#include "runtime/fiber_loop.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"
#include "shared_limit/shared_limits.h"

#include <set>

namespace mimosa {

class TeamQuota {
public:
  /// \p Process distinguishes the runs of a host. \p ListingAge returns the
  /// time since the list of hosts was last known to be up to date.
  TeamQuota(FiberLoop &Loop, PeerClient &Peers, HostId Self,
            Incarnation Process, const SharedLimitOptions &Options,
            MetricsRegistry &Metrics, std::function<Duration()> ListingAge);

  /// Sends reports from now on, also to the hosts \p Seeds, which may serve
  /// callers although they are not listed.
  void start(const std::vector<HostId> &Seeds);
  /// Replaces the quotas; null if there are no teams.
  void setTeams(const TeamConfig *Teams);
  /// \p Hosts are the peer addresses of the hosts to which callers are sent.
  void setHosts(const std::vector<HostId> &Hosts);

  /// Takes one request off the quota of \p Id. Suspends the fiber for some
  /// milliseconds, but not beyond \p Deadline, if a token is expected by then.
  bool admit(const TeamId &Id, MonotonicTime Deadline);
  /// Returns the request that admit() has taken, which has not run.
  void refund(const TeamId &Id);
  /// When a refused caller should return.
  Duration retryAfter(const TeamId &Id, Random &Rng);
  /// The state of a quota for the log.
  std::string describe(const TeamId &Id);
  /// Why this host admits no request of any team that has a quota.
  TokenObstacle obstacle();

  void handleReport(const PeerFrame &Frame);
  /// Tells the other hosts that this one admits no more requests.
  void leave();

private:
  void sendReports(const std::vector<AddressedUsage> &Reports);
  void sendEarlyReports();
  void runRound();
  void registerGauges(const TeamId &Id);
  SharedLimitState state(const TeamId &Id);

  FiberLoop &Loop;
  PeerClient &Peers;
  MetricsRegistry &Metrics;
  std::function<Duration()> ListingAge;
  SharedLimits Limits;
  std::set<TeamId> Limited;
  std::set<TeamId> TeamsWithGauges;
  size_t LoggedSharing = 0;
  size_t LoggedConnected = 0;
  ScopedTimer RoundTimer;
  ScopedTimer EarlyTimer;
  bool EarlyTimerSet = false;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_TEAM_QUOTA_H
