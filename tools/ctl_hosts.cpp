// The commands that read the state of hosts.

#include "tools/ctl_commands.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace mimosa {

namespace {

constexpr Duration PollInterval = Milliseconds(100);
/// Limit on the requests that `wait` sends at once, and so on its connections.
constexpr size_t ParallelReads = 32;

Result<uint64_t> parseRevision(const std::string &Text) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return usageError("REVISION is '" + Text + "' but must be a whole number");
  return Number;
}

/// Returns the hosts that have reported no revision or one below \p Target.
std::vector<std::string>
hostsBehind(const std::vector<std::string> &Hosts,
            const std::map<std::string, uint64_t> &Reported, uint64_t Target) {
  std::vector<std::string> Out;
  for (const std::string &Address : Hosts) {
    auto It = Reported.find(Address);
    if (It == Reported.end() || It->second < Target)
      Out.push_back(Address);
  }
  return Out;
}

void printRevisions(const std::vector<std::string> &Hosts,
                    const std::map<std::string, uint64_t> &Reported) {
  for (const std::string &Address : Hosts) {
    auto It = Reported.find(Address);
    std::string Text = It == Reported.end()
                           ? "no answer"
                           : "revision " + std::to_string(It->second);
    std::printf("%-24s %s\n", Address.c_str(), Text.c_str());
  }
}

} // namespace

/// Returns the caller addresses of the live hosts, sorted.
Result<std::vector<std::string>> CtlCommands::liveHosts() {
  Result<Json> Body = readJson("/v1/hosts");
  if (!ok(Body))
    return errorOf(Body);
  std::vector<std::string> Out;
  for (const Json &One : valueOf(Body).value("hosts", Json::array()))
    if (One.value("state", "") == "alive")
      Out.push_back(One.value("caller_address", ""));
  std::sort(Out.begin(), Out.end());
  return Out;
}

/// Returns the revisions of those hosts at \p Addresses that respond.
CtlCommands::Revisions
CtlCommands::revisionsOf(const std::vector<std::string> &Addresses) {
  Revisions Out;
  size_t Next = 0;
  size_t Workers = std::min(ParallelReads, Addresses.size());
  size_t Running = Workers;
  FiberEvent Finished;
  for (size_t I = 0; I < Workers; ++I)
    Loop.spawn([&] {
      while (Next < Addresses.size()) {
        const std::string &Address = Addresses[Next++];
        auto Response = Client.readFrom(Address, "/v1/hosts");
        Result<Json> Body = ok(Response) ? parseJson(valueOf(Response).Body)
                                         : Result<Json>(errorOf(Response));
        if (ok(Body) && valueOf(Body).is_object())
          Out[Address] = valueOf(Body).value("revision", uint64_t(0));
      }
      if (--Running == 0)
        Finished.set();
    });
  if (Workers > 0)
    Finished.wait();
  return Out;
}

/// Returns the revision to wait for: \p Text or, if it is empty, the highest of
/// the live hosts, since a single daemon may not have the newest change yet.
Result<uint64_t> CtlCommands::targetRevision(const std::string &Text) {
  if (!Text.empty())
    return parseRevision(Text);
  Result<std::vector<std::string>> Live = liveHosts();
  if (!ok(Live))
    return errorOf(Live);
  uint64_t Highest = 0;
  for (const auto &[Address, Number] : revisionsOf(valueOf(Live)))
    Highest = std::max(Highest, Number);
  return Highest;
}

Result<Done> CtlCommands::wait(const std::string &RevisionText) {
  Result<uint64_t> Target = targetRevision(RevisionText);
  if (!ok(Target))
    return errorOf(Target);
  Revisions Reported;
  std::vector<std::string> Hosts;
  std::vector<std::string> Behind;
  bool AllReached = false;
  do {
    Result<std::vector<std::string>> Live = liveHosts();
    if (ok(Live))
      Hosts = valueOf(std::move(Live));
    else if (Hosts.empty())
      return errorOf(Live);
    Behind = hostsBehind(Hosts, Reported, valueOf(Target));
    for (const auto &[Address, Number] : revisionsOf(Behind))
      Reported[Address] = Number;
    Behind = hostsBehind(Hosts, Reported, valueOf(Target));
    // The member list of a daemon that has just started has no live host.
    AllReached = Behind.empty() && !Hosts.empty();
    if (!AllReached)
      FiberLoop::sleepFor(PollInterval);
  } while (!AllReached && Client.remaining() > Duration(0));
  printRevisions(Hosts, Reported);
  if (AllReached)
    return Done{};
  return Error{ResultCode::Timeout, std::to_string(Behind.size()) + " of " +
                                        std::to_string(Hosts.size()) +
                                        " live hosts did not report revision " +
                                        std::to_string(valueOf(Target)) +
                                        " within the time of --timeout-ms"};
}

Result<Done> CtlCommands::hosts() {
  Result<Json> Body = readJson("/v1/hosts");
  if (!ok(Body))
    return errorOf(Body);
  std::printf("%-24s %-24s %-12s %-12s %s\n", "HOST", "CALLER ADDRESS", "ZONE",
              "REGION", "STATE");
  for (const Json &One : valueOf(Body).value("hosts", Json::array()))
    std::printf("%-24s %-24s %-12s %-12s %s\n", One.value("host", "").c_str(),
                One.value("caller_address", "").c_str(),
                One.value("zone", "").c_str(), One.value("region", "").c_str(),
                One.value("state", "").c_str());
  return Done{};
}

Result<Done> CtlCommands::status() {
  Result<Json> Body = readJson("/v1/status");
  if (!ok(Body))
    return errorOf(Body);
  const Json &Status = valueOf(Body);
  std::printf(
      "host %s, availability zone %s, %s, revision %llu, %zu hosts "
      "known, %lld queries running\n",
      Status.value("host", "").c_str(), Status.value("zone", "").c_str(),
      Status.value("state", "").c_str(),
      static_cast<unsigned long long>(Status.value("revision", uint64_t(0))),
      Status.value("hosts", Json::array()).size(),
      static_cast<long long>(Status.value("queries_running", int64_t(0))));
  const Json Services = Status.value("services", Json::object());
  for (const auto &[Name, Service] : Services.items()) {
    std::printf("service %s, %s\n", Name.c_str(),
                Service.value("served_here", false) ? "served here"
                                                    : "not served here");
    for (const Json &One : Service.value("backend_servers", Json::array()))
      std::printf("  %-24s %-10s %-10s limit %-4lld owner %s\n",
                  One.value("name", "").c_str(), One.value("state", "").c_str(),
                  One.value("usable", false) ? "usable" : "not usable",
                  static_cast<long long>(One.value("limit", int64_t(0))),
                  One.value("owner", "").c_str());
  }
  return Done{};
}

} // namespace mimosa
