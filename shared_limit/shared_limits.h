// Limits that all hosts share, such as the quota of a team: a replicated token
// bucket for each limit. See docs/design/shared-limits.md.
//
//   SharedLimits Limits(Self, Process, {});
//   Limits.setLimit(Key, 49, 49);
//   Limits.setHosts(ServingHosts, Now);
//   if (!Limits.admit(Key, Now))
//     refuse(Limits.retryAfter(Key, Now));
//   for (const AddressedUsage &Out : Limits.takeReports(Now))  // every round
//     send(Out.To, Out.Report);
//   if (auto Reply = Limits.applyReport(Received, Now))
//     send(Reply->To, Reply->Report);
//
// Each host takes tokens from its own replica at once and reports this to the
// other sharing hosts. Until all connected hosts have acknowledged what a host
// has taken, it takes at most its part of the level, but at least one token. A
// host is connected to another while the other's acknowledgements are recent.
// It leaves an equal share of each limit to every host that has one and is not
// connected, so the sum of all shares stays within the limit on both sides of a
// partition, and a host that resumes after a freeze has its equal share until
// others answer. Listed hosts have a share. A host that gets requests without
// being listed has none and takes tokens only while it is connected to one that
// has: callers may send requests to any number of such hosts, which do not know
// each other.
//
// Performs no I/O. Times must come from one clock that also counts the time in
// which the machine is suspended.

#ifndef MIMOSA_SHARED_LIMIT_SHARED_LIMITS_H
#define MIMOSA_SHARED_LIMIT_SHARED_LIMITS_H

#include "shared_limit/messages.h"

#include <array>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace mimosa {

/// The bound on the use of a limit in any window: (rate x Window + burst) x
/// (1 + Overage) + Slack.
struct SharedLimitOptions {
  Duration Window = Seconds(5);
  double Overage = 0.1;
  double Slack = 20;
};

/// Time between two reports.
constexpr Duration UsageReportInterval = Milliseconds(200);
/// A host whose acknowledgements are older is not connected. Five rounds, since
/// event loops of small hosts are late by some 100 ms under load.
constexpr Duration ContactTimeout = Seconds(1);
/// A host that has been asked for a reply, and has not sent one for this long,
/// is not connected either. Replies take some milliseconds; asking hosts are
/// those that need more tokens.
constexpr Duration ReplyTimeout = Milliseconds(500);
/// A host that is neither listed nor heard of shares the limits for this long.
/// A host that is cut off may be listed, and serve, for that long.
constexpr Duration SharingMemory = Seconds(30);
/// A host that has not been known to be listed for this long, and is connected
/// to no majority, takes no tokens: the others may no longer leave it a share
/// when its entry, which lasts for up to 5.5 s, has been missing for
/// SharingMemory. They drop it later than it stops.
constexpr Duration ListingMemory = Seconds(25);
/// Shortest time between two early reports. One host that has all callers of a
/// team can take its part of the level once in this time.
constexpr Duration EarlyReportInterval = Milliseconds(10);

struct AddressedUsage {
  HostId To;
  SharedUsage Report;
};

/// Why a host takes no token of a limit at this moment.
enum class TokenObstacle {
  None,
  /// It has neither been listed nor had a request.
  NotSharing,
  /// It has just started or resumed, and not heard all others yet.
  Unsettled,
  /// It is not listed, and not connected to a host that is.
  NotListed,
  /// The others may no longer leave it a share.
  Forgotten,
  /// The whole limit is left to hosts that are not connected.
  Reserved,
  /// What stands in for hosts that are not connected is used up.
  WindowFull,
  /// The tokens are used.
  Used,
  /// The others have not acknowledged what it has taken.
  Unacknowledged,
};

/// The name of an obstacle in logs and metrics.
const char *nameOf(TokenObstacle Obstacle);

/// The state of one limit, for metrics.
struct SharedLimitState {
  double Level = 0;
  double Rate = 0;
  int64_t Used = 0;
  uint64_t Refused = 0;
  TokenObstacle Obstacle = TokenObstacle::None;
};

class SharedLimits {
public:
  SharedLimits(HostId Self, Incarnation Process, SharedLimitOptions Options)
      : Self(std::move(Self)), Process(Process), Options(Options) {}

  /// Limits \p Key to \p Rate tokens a second, and \p Burst at once, which must
  /// be finite. A rate of 0 or less removes the limit.
  void setLimit(const SharedLimitKey &Key, double Rate, double Burst);
  /// Names the hosts to which callers are sent, with this one if it is among
  /// them. An empty list is ignored: the last one stays valid while this host
  /// knows no other.
  void setHosts(const std::vector<HostId> &Hosts, MonotonicTime Now);

  /// Names hosts that may share the limits although they are not listed, since
  /// they are cut off from the list. They are asked for the time of
  /// SharingMemory.
  void addSeeds(const std::vector<HostId> &Hosts, MonotonicTime Now);
  /// States that the list of hosts was up to date at \p Now.
  void confirmHosts(MonotonicTime Now);

  /// Takes a token. Returns false if there is none; always true for a key
  /// without a limit.
  bool admit(const SharedLimitKey &Key, MonotonicTime Now);
  /// Returns a token whose request has not run.
  void refund(const SharedLimitKey &Key, MonotonicTime Now);
  /// Time until admit() is expected to succeed, if no one else asks.
  Duration availableIn(const SharedLimitKey &Key, MonotonicTime Now);
  /// As availableIn(), for one more caller: each call within a short time gives
  /// a later time, so that callers return as tokens do.
  Duration retryAfter(const SharedLimitKey &Key, MonotonicTime Now);

  /// The reports of a round.
  std::vector<AddressedUsage> takeReports(MonotonicTime Now);
  /// Whether takeReports() should be called before the next round, as soon as
  /// earlyReportDue().
  bool earlyReportWanted() const { return EarlyReportWanted && Joined; }
  bool earlyReportDue(MonotonicTime Now) const;
  /// Whether the numbers of a report are possible.
  static bool valid(const SharedUsage &Report);
  /// Applies a valid() report of another host and returns a reply if one is
  /// due.
  std::optional<AddressedUsage> applyReport(const SharedUsage &Report,
                                            MonotonicTime Now);
  /// Ends the use of all limits and returns the reports that say so.
  std::vector<AddressedUsage> leave(MonotonicTime Now);

  /// Whether there is no limit.
  bool empty() const;
  /// Hosts that share the limits, including this one; those of them that have a
  /// share; and those that are connected.
  size_t sharingHosts() const { return 1 + Members; }
  size_t hostsWithShare() const { return shareCount(); }
  size_t connectedHosts() const { return connectedCount(); }
  SharedLimitState state(const SharedLimitKey &Key, MonotonicTime Now);
  /// The part of all limits that this host and those connected to it have.
  double currentShare() const { return Share; }
  /// Why this host takes no token of any limit; None if it may have tokens of
  /// some.
  TokenObstacle obstacle(MonotonicTime Now);
  /// Names hosts that share the limits and are not connected, with the share
  /// that is left to each and the reason, for the log.
  std::string describeDisconnected(MonotonicTime Now) const;

  virtual ~SharedLimits() = default;

protected:
  // Tests replace these to show that the model check finds a fault in them.

  /// Whether the others may no longer leave this host a share.
  virtual bool forgotten(MonotonicTime Now) const;
  /// The newest report that all connected hosts have acknowledged; empty if no
  /// host is connected.
  virtual std::optional<uint64_t> acknowledgedSequence() const;
  uint64_t lastSequence() const { return Sequence; }

private:
  /// The window of the rule is covered by this many slots, one of them partly.
  static constexpr size_t WindowSlots = 51;

  /// Counts tokens by slots of the time.
  struct UseWindow {
    void add(int64_t Tokens, Duration SlotTime, MonotonicTime Now);
    /// The sum of the slot of the last add() and \p Before ones before it.
    int64_t sum(size_t Before) const;
    /// Of all slots.
    int64_t Total = 0;

  private:
    std::array<int64_t, WindowSlots> Slots{};
    int64_t Last = 0;
  };

  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Level = 0;
    /// The level includes what was saved up before this host joined.
    bool LevelIsKnown = true;
    int64_t Used = 0;
    /// What all connected hosts have acknowledged of Used.
    int64_t AckedUsed = 0;
    /// Used as of each report that some connected host has not acknowledged.
    std::deque<std::pair<uint64_t, int64_t>> SentUsed;
    uint64_t Refused = 0;
    /// Tokens that are known to be used by all hosts, and by this one.
    UseWindow AllUse;
    UseWindow OwnUse;
    /// Until then, tokens may not exceed roomInWindow(), since some were taken
    /// in place of hosts that are not connected.
    MonotonicTime BoundUntil{};
    /// The latest time that retryAfter() has named.
    MonotonicTime PromisedUntil{};
  };
  /// What is known of another host's use of one limit.
  struct PeerUsage {
    /// Tokens used as far as they are taken from the own level.
    int64_t Counted = 0;
    /// Last reported; differs from Counted while the host is not connected.
    int64_t Reported = 0;
    /// The level that it last reported.
    double Level = std::numeric_limits<double>::infinity();
    /// Tokens taken from the own level when the connection was lost.
    double Withheld = 0;
  };
  struct Peer {
    bool Listed = false;
    /// SharedUsage::Leaving and Spare of its last report.
    bool Leaving = false;
    bool Spare = false;
    /// The share of a host that leaves or is spare passes to the others from
    /// then on.
    MonotonicTime ReleasedAt{};
    /// When its last report arrived.
    MonotonicTime HeardAt{};
    /// Its acknowledgements are recent.
    bool InContact = false;
    /// In contact, as are all others that are connected: one group takes
    /// tokens from one level.
    bool Connected = false;
    /// It belongs to the group as far as this host knows.
    bool FitsGroup = false;
    /// Since when it has not fitted into the group.
    std::optional<MonotonicTime> UnfitSince;
    /// It shares the limits.
    bool Member = false;
    /// A share is left to it while it is not connected.
    bool HasShare = false;
    /// A full report of its process was applied; reports are not acknowledged
    /// before.
    bool HasFull = false;
    bool Settled = false;
    Incarnation Process;
    Incarnation FormerProcess;
    uint64_t HeardSequence = 0;
    /// SharedUsage::SharingHosts and Share of its last report.
    uint32_t SharingHosts = 0;
    double Share = 1;
    /// SharedUsage::InGroup and Contacts of its last report.
    bool InGroup = false;
    std::vector<uint32_t> Contacts;
    uint64_t AckedSequence = 0;
    /// When the report that it has acknowledged was sent.
    std::optional<MonotonicTime> AckedSentAt;
    /// The first report that asked for a reply and is not acknowledged, and
    /// when it was sent.
    uint64_t AskedSequence = 0;
    std::optional<MonotonicTime> AskedSince;
    /// When it was last listed or heard.
    std::optional<MonotonicTime> SeenAt;
    MonotonicTime DisconnectedAt{};
    /// When a reply was last asked for outside the rounds.
    MonotonicTime AskedForReplyAt{};
    std::unordered_map<SharedLimitKey, PeerUsage> Usage;
  };

  /// The tokens that the rule allows above rate x window + burst.
  double margin(const Bucket &B) const;
  double capacity(const Bucket &B) const;
  /// The part of all limits that this host and those connected to it have.
  double share(const Bucket &B) const;
  void updateShare(MonotonicTime Now);
  /// The part of all limits that \p P takes while it is not connected. It may
  /// not know of hosts that have joined since it was last heard.
  double shareOf(const Peer &P) const;
  double shareOfCapacity(const Bucket &B) const;
  double effectiveRate(const Bucket &B) const;
  /// As effectiveRate(), without the room that an unused burst leaves.
  double baseRate(const Bucket &B) const;
  /// What the rule allows this host and those connected to it in a window, and
  /// what is left of it in the current one.
  double boundOfWindow(const Bucket &B) const;
  double roomInWindow(const Bucket &B) const;
  /// Tokens that are known to be used within the last \p Time, or a little
  /// more.
  int64_t usedWithin(const Bucket &B, Duration Time) const;
  Duration slotTime() const { return Options.Window / (WindowSlots - 1); }
  /// How many unacknowledged tokens this host may have taken.
  double ownPart(const Bucket &B) const;
  int64_t unacknowledged(const Bucket &B) const;
  /// Hosts that have a share, and those that are connected; with this one.
  size_t shareCount() const { return PeerShares + (SelfListed ? 1 : 0); }
  size_t connectedCount() const { return 1 + Connections; }
  /// Hosts that are connected and have a share, with this one if it has.
  size_t connectedShareCount() const;
  double equalShare() const {
    return 1.0 / static_cast<double>(std::max<size_t>(shareCount(), 1));
  }
  /// Whether this host may take tokens: it is listed, or had requests lately.
  bool sharing(MonotonicTime Now) const;

  /// Brings levels and connections up to \p Now.
  void advance(MonotonicTime Now);
  void refill(Duration Elapsed);
  /// Forgets which hosts are connected, after a time in which this process did
  /// not run. The levels are not refilled for that time.
  void resumeAfterPause(MonotonicTime Now);
  void updateConnections(MonotonicTime Now);
  void updateContacts(MonotonicTime Now);
  /// The hosts, of which each is in contact with each other, that take tokens
  /// from one level with this host. All hosts choose alike.
  std::set<HostId> chooseGroup() const;
  /// Whether \p P has said that it has no share, and this still holds.
  bool released(const Peer &P, MonotonicTime Now) const;
  void setMember(Peer &P, bool Member, MonotonicTime Now);
  void setHasShare(Peer &P, bool HasShare);
  /// Whether a connected host has acknowledged that this one has a share.
  bool shareIsKnown() const;
  /// The others do not know yet that this host has a share.
  void becomeUnknown(MonotonicTime Now);
  void setConnected(Peer &P, bool Connected);
  void connect(Peer &P, MonotonicTime Now);
  void disconnect(Peer &P, MonotonicTime Now);
  /// Takes the tokens from the levels that \p P may take, as \p Part of them.
  /// It was not heard for \p Unheard.
  void withhold(Peer &P, double Part, Duration Unheard);
  void applyAcks();
  void addTokens(Bucket &B, double Tokens) const;
  /// Tokens that a limit has got since this host has joined the others.
  double tokensSinceJoin(const Bucket &B) const;
  /// Begins to share the limits, again or for the first time.
  void join(MonotonicTime Now);
  void updateSettled(MonotonicTime Now);
  /// Returns false if the report is late or of a former process.
  bool accept(Peer &P, const SharedUsage &Report, MonotonicTime Now);
  void applyUsage(Peer &P, const SharedUsage &Report, MonotonicTime Now);
  /// Applies what \p Report says of the sender's share.
  void applyShareState(Peer &P, const SharedUsage &Report, MonotonicTime Now);
  void recordAck(Peer &P, const SharedUsage &Report);
  SharedUsage makeReport(Peer &P, bool WantsReply, MonotonicTime Now) const;
  std::vector<AddressedUsage> makeReports(MonotonicTime Now, bool WantReplies);
  void beginReport(MonotonicTime Now);
  Bucket *find(const SharedLimitKey &Key);
  /// obstacle() without the time at which it is asked for.
  TokenObstacle obstacleToAll() const;
  TokenObstacle obstacleTo(const Bucket &B) const;
  bool mayTake(const Bucket &B) const {
    return obstacleTo(B) == TokenObstacle::None;
  }
  /// Why \p P is not connected.
  const char *whyDisconnected(const Peer &P, MonotonicTime Now) const;
  /// Whether the window leaves no room for a token in place of a lost host.
  bool windowIsFull(const Bucket &B) const;

  HostId Self;
  Incarnation Process;
  SharedLimitOptions Options;
  std::unordered_map<SharedLimitKey, Bucket> Buckets;
  std::map<HostId, Peer> Peers;
  /// Numbers of other hosts with Peer::Member, Peer::HasShare and
  /// Peer::Connected.
  size_t Members = 0;
  size_t PeerShares = 0;
  size_t Connections = 0;
  /// The group has to be chosen again.
  bool GroupChanged = false;
  bool SelfListed = false;
  /// Reports are sent and tokens are taken.
  bool Joined = false;
  /// leave() was called.
  bool Stopped = false;
  bool EarlyReportWanted = false;
  std::optional<MonotonicTime> AdvancedAt;
  /// When a request last asked for a token.
  std::optional<MonotonicTime> AskedAt;
  /// When this host was last known to be listed.
  std::optional<MonotonicTime> ConfirmedAt;
  /// Until then, others may leave no share to this host, since they do not know
  /// that it has started or resumed.
  std::optional<MonotonicTime> UnknownUntil;
  /// The first report that says so.
  uint64_t UnknownSequence = 0;
  /// What this host leaves to itself and those connected to it, and the least
  /// of what they leave.
  double OwnShare = 0;
  double Share = 0;
  /// While a host starts or resumes, the levels of the others bound its own.
  bool Settled = false;
  MonotonicTime StartedAt{};
  MonotonicTime JoinedAt{};
  uint64_t Sequence = 0;
  MonotonicTime LastReportAt{};
  std::deque<std::pair<uint64_t, MonotonicTime>> SentAt;
};

} // namespace mimosa

#endif // MIMOSA_SHARED_LIMIT_SHARED_LIMITS_H
