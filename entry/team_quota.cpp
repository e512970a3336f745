#include "entry/team_quota.h"

#include "runtime/log.h"

#include <algorithm>
#include <ctime>

namespace mimosa {

namespace {

/// Other hosts acknowledge a report within a few milliseconds, after which more
/// tokens may be taken. Waiting for that is better for callers than a refusal.
constexpr Duration LongestTokenWait = Milliseconds(60);
constexpr Duration TokenPollInterval = Milliseconds(5);
/// Older lists of hosts say nothing of whether this host is listed. The list is
/// usually confirmed every 2.4 s.
constexpr Duration CurrentListingAge = Seconds(4);
/// Largest random addition to the time after which refused callers return, as a
/// share of it.
constexpr double RetryJitter = 0.25;

/// The time since the machine started, including the time in which it was
/// suspended, during which other hosts have used the quotas.
MonotonicTime bootTime() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

SharedLimitKey keyOf(const TeamId &Id) {
  return SharedLimitKey("team/" + Id.text());
}

} // namespace

TeamQuota::TeamQuota(FiberLoop &Loop, PeerClient &Peers, HostId Self,
                     Incarnation Process, const SharedLimitOptions &Options,
                     MetricsRegistry &Metrics,
                     std::function<Duration()> ListingAge)
    : Loop(Loop), Peers(Peers), Metrics(Metrics),
      ListingAge(std::move(ListingAge)),
      Limits(std::move(Self), Process, Options) {
  Metrics.gauge("mimosa_quota_sharing_hosts", {},
                [this] { return static_cast<double>(Limits.sharingHosts()); });
  Metrics.gauge("mimosa_quota_hosts_with_share", {}, [this] {
    return static_cast<double>(Limits.hostsWithShare());
  });
  Metrics.gauge("mimosa_quota_connected_hosts", {}, [this] {
    return static_cast<double>(Limits.connectedHosts());
  });
  Metrics.gauge("mimosa_quota_share", {},
                [this] { return Limits.currentShare(); });
}

void TeamQuota::start(const std::vector<HostId> &Seeds) {
  Limits.addSeeds(Seeds, bootTime());
  RoundTimer = Loop.every(UsageReportInterval, [this] { runRound(); });
}

void TeamQuota::setTeams(const TeamConfig *Teams) {
  std::set<TeamId> Former = std::move(Limited);
  Limited.clear();
  if (Teams)
    for (const Team &Each : Teams->Teams)
      if (Each.RatePerSecond > 0) {
        Limited.insert(Each.Id);
        Limits.setLimit(keyOf(Each.Id), Each.RatePerSecond, Each.Burst);
        registerGauges(Each.Id);
      }
  for (const TeamId &Id : Former)
    if (!Limited.count(Id))
      Limits.setLimit(keyOf(Id), 0, 0);
  logInfo("quota", "event=quotas_set teams=" + std::to_string(Limited.size()) +
                       " former=" + std::to_string(Former.size()));
}

SharedLimitState TeamQuota::state(const TeamId &Id) {
  return Limits.state(keyOf(Id), bootTime());
}

void TeamQuota::registerGauges(const TeamId &Id) {
  if (!TeamsWithGauges.insert(Id).second)
    return;
  Labels L = {{"team", Id.text()}};
  Metrics.gauge("mimosa_team_quota_level", L,
                [this, Id] { return state(Id).Level; });
  Metrics.gauge("mimosa_team_quota_rate", L,
                [this, Id] { return state(Id).Rate; });
  Metrics.gauge("mimosa_team_quota_used_total", L,
                [this, Id] { return static_cast<double>(state(Id).Used); });
  Metrics.gauge("mimosa_team_quota_denied_total", L,
                [this, Id] { return static_cast<double>(state(Id).Refused); });
}

void TeamQuota::setHosts(const std::vector<HostId> &Hosts) {
  Limits.setHosts(Hosts, bootTime());
  sendEarlyReports();
}

bool TeamQuota::admit(const TeamId &Id, MonotonicTime Deadline) {
  if (!Limited.count(Id))
    return true;
  SharedLimitKey Key = keyOf(Id);
  MonotonicTime End = std::min(Loop.now() + LongestTokenWait, Deadline);
  while (true) {
    bool Admitted = Limits.admit(Key, bootTime());
    sendEarlyReports();
    if (Admitted)
      return true;
    Duration Left = End - Loop.now();
    Duration Expected = Limits.availableIn(Key, bootTime());
    if (Left <= Duration(0) || Expected > Left)
      return false;
    FiberLoop::sleepFor(std::min(std::max(Expected, TokenPollInterval), Left));
  }
}

void TeamQuota::refund(const TeamId &Id) {
  Limits.refund(keyOf(Id), bootTime());
}

Duration TeamQuota::retryAfter(const TeamId &Id, Random &Rng) {
  return scaled(Limits.retryAfter(keyOf(Id), bootTime()),
                1 + RetryJitter * Rng.uniform01());
}

std::string TeamQuota::describe(const TeamId &Id) {
  SharedLimitState S = state(Id);
  return "level=" + std::to_string(S.Level) +
         " rate=" + std::to_string(S.Rate) + " obstacle=" + nameOf(S.Obstacle) +
         " share=" + std::to_string(Limits.currentShare()) +
         " sharing_hosts=" + std::to_string(Limits.sharingHosts()) +
         " connected_hosts=" + std::to_string(Limits.connectedHosts());
}

TokenObstacle TeamQuota::obstacle() {
  return Limited.empty() ? TokenObstacle::None : Limits.obstacle(bootTime());
}

void TeamQuota::sendReports(const std::vector<AddressedUsage> &Reports) {
  for (const AddressedUsage &Each : Reports)
    Peers.send(Each.To, MessageType::SharedUsage, packBody(Each.Report));
}

void TeamQuota::sendEarlyReports() {
  if (Limited.empty() || !Limits.earlyReportWanted() || EarlyTimerSet)
    return;
  MonotonicTime Now = bootTime();
  if (Limits.earlyReportDue(Now))
    return sendReports(Limits.takeReports(Now));
  EarlyTimerSet = true;
  EarlyTimer = Loop.after(EarlyReportInterval, [this] {
    EarlyTimerSet = false;
    sendEarlyReports();
  });
}

void TeamQuota::runRound() {
  // Without a limit there is nothing to share.
  if (Limited.empty())
    return;
  MonotonicTime Now = bootTime();
  if (ListingAge() < CurrentListingAge)
    Limits.confirmHosts(Now);
  sendReports(Limits.takeReports(Now));
  size_t Sharing = Limits.sharingHosts();
  size_t Connected = Limits.connectedHosts();
  if (Sharing == LoggedSharing && Connected == LoggedConnected)
    return;
  logInfo("quota",
          "event=sharing_changed sharing_hosts=" + std::to_string(Sharing) +
              " with_share=" + std::to_string(Limits.hostsWithShare()) +
              " connected_hosts=" + std::to_string(Connected) +
              " share=" + std::to_string(Limits.currentShare()) +
              " unconnected=" + Limits.describeDisconnected(Now));
  LoggedSharing = Sharing;
  LoggedConnected = Connected;
}

void TeamQuota::handleReport(const PeerFrame &Frame) {
  // Not acknowledged, so the others go on without this host until it has the
  // configuration with the quotas.
  if (Limited.empty())
    return;
  Result<SharedUsage> Report = unpackBody<SharedUsage>(Frame.Body);
  if (!ok(Report))
    return logWarn("quota", "event=bad_usage_report reason=\"" +
                                errorOf(Report).Message + "\"");
  if (!SharedLimits::valid(valueOf(Report)))
    return logWarn("quota", "event=bad_usage_report reason=\"impossible "
                            "numbers\" from=" +
                                valueOf(Report).Sender.text());
  if (auto Reply = Limits.applyReport(valueOf(Report), bootTime()))
    sendReports({*Reply});
}

void TeamQuota::leave() {
  std::vector<AddressedUsage> Reports = Limits.leave(bootTime());
  if (!Limited.empty())
    sendReports(Reports);
}

} // namespace mimosa
