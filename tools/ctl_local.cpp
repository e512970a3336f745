#include "tools/ctl_local.h"

#include "entry/entry_options.h"
#include "platform/metadata_store.h"
#include "platform/rollout_records.h"
#include "tools/request_timeline.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace mimosa {

namespace {

enum LocalStatus { Succeeded, Failed, WrongUsage };

/// The host of a log file: "h1" for "logs/h1.log".
std::string hostOf(const std::string &Path) {
  std::string Name = Path.substr(Path.rfind('/') + 1);
  return Name.substr(0, Name.find('.'));
}

int explain(const std::string &Id, const std::vector<std::string> &Logs) {
  RequestTimeline Timeline(Id);
  if (Logs.empty())
    Timeline.read(std::cin, "");
  for (const std::string &Path : Logs) {
    std::ifstream In(Path);
    if (!In) {
      std::fprintf(stderr, "mimosactl: cannot read log '%s'\n", Path.c_str());
      return Failed;
    }
    Timeline.read(In, hostOf(Path));
  }
  if (!Timeline.found()) {
    std::fprintf(stderr,
                 "mimosactl: no log has a line of request %s: it did not "
                 "reach these hosts, or the limit on request lines per second "
                 "dropped its line\n",
                 Id.c_str());
    return Failed;
  }
  for (const std::string &Line : Timeline.report())
    std::printf("%s\n", Line.c_str());
  return Succeeded;
}

int check(const std::string &Path) {
  std::vector<std::string> Problems = entrySettingsProblems(Path);
  for (const std::string &Problem : Problems)
    std::fprintf(stderr, "mimosactl: %s\n", Problem.c_str());
  if (!Problems.empty())
    return Failed;
  std::printf("%s: no problems\n", Path.c_str());
  return Succeeded;
}

void printRollout(const RolloutStatus &Status) {
  std::printf("%s: %s %s\n", Status.Service.text().c_str(),
              Status.TargetVersion.text().c_str(),
              rolloutPhaseName(Status.Phase));
  std::printf("  order: revision %llu\n",
              static_cast<unsigned long long>(Status.Order.number()));
  std::printf("  decided by %s: %s\n", Status.DecidedBy.c_str(),
              Status.Reason.c_str());
  std::printf("  evidence: %s\n", Status.Evidence.c_str());
  for (const VersionId &Version : Status.Excluded)
    std::printf("  excluded: %s\n", Version.text().c_str());
  for (const std::string &Line : Status.Previous)
    std::printf("  before: %s\n", Line.c_str());
}

/// Prints the roll-outs in the store at \p Address: that of \p Service, or all
/// if it is empty. Ends the process, since fibers of the connection still run.
[[noreturn]] void showRollouts(const std::string &Address,
                               const std::string &Service) {
  int Status = Failed;
  FiberLoop Loop;
  Loop.run([&] {
    MetadataStore Store(Loop, Address);
    Result<StorePage> Items = Store.rangeAll(RolloutStatusPrefix + Service);
    if (!ok(Items)) {
      std::fprintf(stderr, "mimosactl: cannot read the store: %s\n",
                   errorOf(Items).Message.c_str());
      return;
    }
    for (const StoreItem &Item : valueOf(Items).Items) {
      ServiceId Name(Item.Key.substr(std::string(RolloutStatusPrefix).size()));
      if (!Item.Value || (!Service.empty() && Name.text() != Service))
        continue;
      printRollout(decodeRolloutStatus(Name, *Item.Value, Item.Revision));
      Status = Succeeded;
    }
    if (Status == Failed)
      std::fprintf(stderr, "mimosactl: the store has no such roll-out\n");
  });
  std::fflush(stdout);
  std::_Exit(Status);
}

} // namespace

std::optional<int> runLocalCommand(const std::vector<std::string> &Words) {
  if (Words.empty() ||
      (Words[0] != "explain" && Words[0] != "check" && Words[0] != "rollouts"))
    return std::nullopt;
  if (Words[0] == "rollouts" && (Words.size() == 2 || Words.size() == 3))
    showRollouts(Words[1], Words.size() == 3 ? Words[2] : "");
  if (Words[0] == "explain" && Words.size() >= 2)
    return explain(Words[1], {Words.begin() + 2, Words.end()});
  if (Words[0] == "check" && Words.size() == 2)
    return check(Words[1]);
  std::fprintf(stderr, "mimosactl: usage: explain REQUEST-ID [LOG...], "
                       "check SETTINGS or rollouts STORE [SERVICE]\n");
  return WrongUsage;
}

} // namespace mimosa
