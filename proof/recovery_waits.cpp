#include "proof/recovery_waits.h"

#include "placement/registration.h"
#include "platform/platform_feed.h"
#include "quarantine/strike_exchange.h"
#include "shared_limit/shared_limits.h"

#include <cstdio>

namespace mimosa {

namespace {

const char *nameOf(HeldBack Holds) {
  switch (Holds) {
  case HeldBack::Service:
    return "all requests";
  case HeldBack::Quotas:
    return "teams with a quota";
  case HeldBack::Part:
    return "a part, or nothing";
  }
  return "unknown";
}

std::string inSecondsText(Duration Time) {
  char Out[32];
  std::snprintf(Out, sizeof(Out), "%.1f s", inSeconds(Time));
  return Out;
}

} // namespace

std::vector<RecoveryWait> recoveryWaits() {
  constexpr Duration Lease = PlatformFeed::LargeFleetLeaseLifetime;
  return {
      {"the next try after a call to the store has failed",
       PlatformFeed::MaxRetryDelay, HeldBack::Service,
       "503 (unconfigured); a call that is not answered ends after 1.5 s, and "
       "seeds are asked after each"},
      {"store caches of hosts that the first listing names, if the store has "
       "been restored before",
       2 * StoreCacheReplyMargin, HeldBack::Service,
       "503 (unconfigured); two hosts are asked, which may be gone"},
      {"entries from before of hosts that do not return", Lease,
       HeldBack::Service,
       "callers may be sent to these hosts, and use the others after a failed "
       "connection; then the entries end"},
      {"entries of other hosts of the zone", Registration::MaxWait,
       HeldBack::Service,
       "a host registers at once if less than half of the entries that its "
       "zone needs are listed, otherwise within this time"},
      {"acknowledgements of the hosts with a share", ContactTimeout,
       HeldBack::Quotas, "429; then its own share is used"},
      {"shares of listed hosts that say that they do not serve",
       SharedLimitOptions().Window, HeldBack::Quotas,
       "passed on with the first report of a process that has taken no token; "
       "only a host that has taken some keeps its equal share for this time"},
      {"shares of listed hosts that do not return", Lease + SharingMemory,
       HeldBack::Part,
       "an equal share for each, since it may be cut off and serve; the rest "
       "is used"},
      {"a host that knows that this one has a share", SharingMemory,
       HeldBack::Part,
       "the first acknowledgement ends it; a host that is back alone uses half "
       "of the margin of each quota"},
      {"tokens that a team had saved up", Duration(0), HeldBack::Part,
       "not granted again; levels grow at the rate of the quota"},
      {"hosts that served before, in the parts of stated limits, connections, "
       "cold rates and the retry budget",
       SharingMemory, HeldBack::Part,
       "a host uses the part of the largest number of hosts that it has seen "
       "since its start"},
      {"strikes", 5 * StrikeExchange::QueryInterval, HeldBack::Part,
       "requests are served meanwhile; what all hosts had in memory is lost"},
  };
}

Duration longestTotal(HeldBack Holds) {
  Duration Out(0);
  for (const RecoveryWait &Each : recoveryWaits())
    if (Each.Holds == Holds)
      Out += Each.Longest;
  return Out;
}

std::string printRecoveryWaits() {
  std::string Out =
      "\n## Waits of mimosa-entry after all hosts have stopped\n\n"
      "All hosts lose power or are killed at one moment and start again in any "
      "order. The target is service " +
      inSecondsText(RecoveryTarget) +
      " after that, the shortest recoveryS of a deployment. Waits that hold "
      "back all requests add up to " +
      inSecondsText(longestTotal(HeldBack::Service)) +
      "; those for quotas run from the first listing on and add up to " +
      inSecondsText(longestTotal(HeldBack::Quotas)) +
      ".\n\n| wait for | longest | holds back | meanwhile, and then |\n"
      "| --- | --- | --- | --- |\n";
  for (const RecoveryWait &Each : recoveryWaits())
    Out += "| " + Each.WaitsFor + " | " + inSecondsText(Each.Longest) + " | " +
           nameOf(Each.Holds) + " | " + Each.Effect + " |\n";
  return Out;
}

} // namespace mimosa
