#include "tools/ctl_local.h"

#include "entry/entry_options.h"
#include "tools/request_timeline.h"

#include <cstdio>
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

} // namespace

std::optional<int> runLocalCommand(const std::vector<std::string> &Words) {
  if (Words.empty() || (Words[0] != "explain" && Words[0] != "check"))
    return std::nullopt;
  if (Words[0] == "explain" && Words.size() >= 2)
    return explain(Words[1], {Words.begin() + 2, Words.end()});
  if (Words[0] == "check" && Words.size() == 2)
    return check(Words[1]);
  std::fprintf(stderr, "mimosactl: usage: explain REQUEST-ID [LOG...] or "
                       "check SETTINGS\n");
  return WrongUsage;
}

} // namespace mimosa
