#include "tools/ctl_commands.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace mimosa {

namespace {

/// Times that an edit of one item is made again after a conflict.
constexpr int MaxEdits = 10;
constexpr size_t MaxOperatorBytes = 64;

enum ExitStatus { Succeeded, Failed, UsageError, ConflictFound, TimedOut };

/// The name of the operator and a random number, such as
/// "ada/9f31c0a2b7d85e46".
std::string newChangeId() {
  std::random_device Device;
  uint64_t Number = (static_cast<uint64_t>(Device()) << 32) | Device();
  char Hex[17];
  std::snprintf(Hex, sizeof(Hex), "%016llx",
                static_cast<unsigned long long>(Number));
  const char *User = std::getenv("USER");
  std::string Operator = User && *User ? User : "mimosactl";
  return Operator.substr(0, MaxOperatorBytes) + "/" + Hex;
}

Result<std::string> readFile(const std::string &Path) {
  std::stringstream Text;
  if (Path == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream In(Path);
  if (!In)
    return Error{ResultCode::NotFound, "cannot read file '" + Path + "'"};
  Text << In.rdbuf();
  return Text.str();
}

/// Parses a document that may lack the fields that a change sets. The document
/// of a system without a configuration has an empty change id.
Result<Config> parseDocument(Json Document, const std::string &Where) {
  if (!Document.is_object())
    return Error{ResultCode::InvalidConfig, Where + " is not a JSON object"};
  if (!Document.contains("revision"))
    Document["revision"] = 0;
  if (!Document.contains("change_id") || Document["change_id"] == "")
    Document["change_id"] = "none";
  Result<Config> Parsed = parseConfigJson(Document);
  if (ok(Parsed))
    return Parsed;
  return Error{errorOf(Parsed).Code, Where + ": " + errorOf(Parsed).Message};
}

/// Reads the document in \p Path; \p HasRevision is set if it states one.
Result<Config> loadDocument(const std::string &Path, bool *HasRevision) {
  Result<std::string> Text = readFile(Path);
  if (!ok(Text))
    return errorOf(Text);
  Result<Json> Parsed = parseJson(valueOf(Text));
  if (!ok(Parsed))
    return Error{errorOf(Parsed).Code, Path + ": " + errorOf(Parsed).Message};
  *HasRevision =
      valueOf(Parsed).is_object() && valueOf(Parsed).contains("revision");
  return parseDocument(valueOf(std::move(Parsed)), Path);
}

void printLines(const std::vector<std::string> &Lines) {
  for (const std::string &Line : Lines)
    std::printf("  %s\n", Line.c_str());
}

std::string joined(const std::vector<std::string> &Lines) {
  std::string Out;
  for (const std::string &Line : Lines)
    Out += "\n  " + Line;
  return Out;
}

std::string revisionText(const Config &Document) {
  return "revision " + std::to_string(Document.ConfigRevision.number());
}

} // namespace

Error usageError(const std::string &Message) {
  return {ResultCode::BadSetting, Message + "; see mimosactl --help"};
}

const char *const CtlHelp =
    R"(operators' command line of mimosawall

Commands:
  show                print the configuration in force as JSON
  apply FILE          print the differences and put FILE in force; FILE is a
                      JSON document, - reads standard input
  diff FILE           print what apply FILE would change
  wait [REVISION]     wait until every live host has REVISION, by default the
                      highest of any host; print the revision of each host
  zone-out ZONE       take an availability zone out
  zone-in ZONE        bring it back
  drain BACKEND       send no new work to a backend server
  undrain BACKEND     send work to it again
  hosts               print the hosts that the daemon knows
  status              print the state of the daemon and its backend servers
  explain REQUEST-ID [LOG...]
                      print what logs of mimosa-entry say about a request, and
                      the cause of its outcome; without LOG, standard input
  check SETTINGS      check a settings file of mimosa-entry or its template

explain and check need no --daemon.

apply refuses a FILE that was made from another revision than the one in force
and prints what the other operator changed. The revision is that of
--expected-revision, --base or the field "revision" of FILE, in this order; a
FILE without one replaces the revision in force at the start of the command.

Exit statuses: 0 done; 1 failed, and nothing was changed; 2 wrong usage;
3 conflict with another operator, and nothing was changed; 4 timed out: for a
change, it may be in force.
)";

int exitStatusOf(const Result<Done> &Outcome) {
  if (ok(Outcome))
    return Succeeded;
  switch (errorOf(Outcome).Code) {
  case ResultCode::BadSetting:
    return UsageError;
  case ResultCode::Conflict:
    return ConflictFound;
  case ResultCode::Timeout:
  case ResultCode::OutcomeUnknown:
    return TimedOut;
  default:
    return Failed;
  }
}

CtlCommands::CtlCommands(FiberLoop &Loop, CtlOptions Options)
    : Loop(Loop), Options(std::move(Options)),
      Client(Loop, this->Options.Daemons, Loop.now() + this->Options.Timeout),
      ChangeId(newChangeId()) {}

Result<Done> CtlCommands::run(const std::vector<std::string> &Words) {
  if (Words.empty())
    return usageError("a command is required");
  if (Options.Daemons.empty())
    return usageError("flag --daemon names no address");
  const std::string &Name = Words[0];
  std::string Argument = Words.size() > 1 ? Words[1] : "";
  using Action = std::function<Result<Done>()>;
  struct Command {
    size_t Fewest;
    size_t Most;
    Action Run;
  };
  const std::map<std::string, Command> All = {
      {"show", {0, 0, [&] { return show(); }}},
      {"apply", {1, 1, [&] { return apply(Argument); }}},
      {"diff", {1, 1, [&] { return diff(Argument); }}},
      {"wait", {0, 1, [&] { return wait(Argument); }}},
      {"zone-out", {1, 1, [&] { return setZone(Argument, ZoneState::Out); }}},
      {"zone-in", {1, 1, [&] { return setZone(Argument, ZoneState::In); }}},
      {"drain",
       {1, 1,
        [&] { return setBackend(Argument, BackendAdminState::Draining); }}},
      {"undrain",
       {1, 1, [&] { return setBackend(Argument, BackendAdminState::In); }}},
      {"hosts", {0, 0, [&] { return hosts(); }}},
      {"status", {0, 0, [&] { return status(); }}}};
  auto It = All.find(Name);
  if (It == All.end())
    return usageError("'" + Name + "' is not a command");
  size_t Arguments = Words.size() - 1;
  if (Arguments < It->second.Fewest)
    return usageError("command " + Name + " needs an argument");
  if (Arguments > It->second.Most)
    return usageError("command " + Name + " does not take argument '" +
                      Words.back() + "'");
  return It->second.Run();
}

Result<Json> CtlCommands::readJson(const std::string &Target) {
  Result<HttpResponse> Answer = Client.read(Target);
  if (!ok(Answer))
    return errorOf(Answer);
  if (valueOf(Answer).Status != 200)
    return errorInAnswer(valueOf(Answer));
  return parseJson(valueOf(Answer).Body);
}

Result<Config> CtlCommands::readConfig() {
  Result<Json> Body = readJson("/v1/config");
  if (!ok(Body))
    return errorOf(Body);
  return parseDocument(valueOf(std::move(Body)), "the daemon's configuration");
}

Result<Done> CtlCommands::show() {
  Result<Json> Body = readJson("/v1/config");
  if (!ok(Body))
    return errorOf(Body);
  std::printf("%s\n", valueOf(Body).dump(2).c_str());
  return Done{};
}

Result<CtlCommands::Posted> CtlCommands::post(Revision Expected,
                                              const Config &Document) {
  Json Body = {{"expected_revision", Expected.number()},
               {"change_id", ChangeId},
               {"config", configJson(Document)}};
  DaemonClient::ChangeAnswer Sent = Client.change(Body.dump());
  if (!ok(Sent.Answer))
    return errorOf(Sent.Answer);
  const HttpResponse &Answer = valueOf(Sent.Answer);
  Error Refusal = errorInAnswer(Answer);
  Result<Json> Parsed = parseJson(Answer.Body);
  if (!ok(Parsed))
    return Error{ResultCode::OutcomeUnknown,
                 "the daemon's answer to the change cannot be read"};
  if (Refusal.Code != ResultCode::Ok && Refusal.Code != ResultCode::Conflict) {
    // The refusal says nothing about an attempt whose reply was lost.
    if (Sent.Unsettled)
      return Error{ResultCode::OutcomeUnknown,
                   "the change may be in force; sent again, it was refused: " +
                       Refusal.Message};
    return Refusal;
  }
  Posted Out;
  Out.Accepted = Refusal.Code == ResultCode::Ok;
  Out.NewRevision = valueOf(Parsed).value("revision", uint64_t(0));
  if (Out.Accepted)
    return Out;
  // The change of a lost reply may have been in force before a later one.
  if (Sent.Unsettled && Out.NewRevision > Expected.number() + 1)
    return Error{ResultCode::OutcomeUnknown,
                 "the change may have been in force before " + Refusal.Message};
  Out.Conflict = Refusal;
  Result<Config> Other = parseDocument(valueOf(Parsed).value("config", Json()),
                                       "the document in force");
  if (!ok(Other))
    return errorOf(Other);
  Out.Other = valueOf(std::move(Other));
  return Out;
}

/// The document from which \p New was made, as far as it is known.
Result<Config> CtlCommands::baseOf(const Config &Current,
                                   const Config &New) const {
  Config Base = Current;
  bool HasRevision = false;
  if (!Options.Base.empty()) {
    Result<Config> Loaded = loadDocument(Options.Base, &HasRevision);
    if (!ok(Loaded))
      return Loaded;
    if (!HasRevision)
      return Error{ResultCode::InvalidConfig,
                   Options.Base + ": field 'revision' is missing"};
    Base = valueOf(std::move(Loaded));
  } else if (New.ConfigRevision.number() > 0) {
    Base.ConfigRevision = New.ConfigRevision;
  }
  if (Options.ExpectedRevision >= 0)
    Base.ConfigRevision =
        Revision(static_cast<uint64_t>(Options.ExpectedRevision));
  return Base;
}

/// Describes the document that was found in place of \p Base. Without the
/// document of the expected revision, \p Base is null and \p New is compared.
Error CtlCommands::conflict(const Config *Base, const Config &New,
                            const Posted &Found) {
  std::string Message = Found.Conflict.Message + "; nothing was changed. ";
  if (Base)
    Message += "The other operators changed:" +
               joined(differences(*Base, Found.Other));
  else
    Message += "The file would change the document in force as follows, which "
               "may undo another operator's change:" +
               joined(differences(Found.Other, New));
  return {ResultCode::Conflict, std::move(Message)};
}

Result<Done> CtlCommands::apply(const std::string &File) {
  bool HasRevision = false;
  Result<Config> New = loadDocument(File, &HasRevision);
  if (!ok(New))
    return errorOf(New);
  Result<Config> Current = readConfig();
  if (!ok(Current))
    return errorOf(Current);
  Result<Config> Base = baseOf(valueOf(Current), valueOf(New));
  if (!ok(Base))
    return errorOf(Base);
  Revision Expected = valueOf(Base).ConfigRevision;
  Result<Posted> Outcome = post(Expected, valueOf(New));
  if (!ok(Outcome))
    return errorOf(Outcome);
  if (valueOf(Outcome).Accepted) {
    printLines(differences(valueOf(Base), valueOf(New)));
    std::printf("revision %llu is accepted\n",
                static_cast<unsigned long long>(valueOf(Outcome).NewRevision));
    return Done{};
  }
  bool Known =
      !Options.Base.empty() || valueOf(Current).ConfigRevision == Expected;
  return conflict(Known ? &valueOf(Base) : nullptr, valueOf(New),
                  valueOf(Outcome));
}

Result<Done> CtlCommands::diff(const std::string &File) {
  bool HasRevision = false;
  Result<Config> New = loadDocument(File, &HasRevision);
  if (!ok(New))
    return errorOf(New);
  Result<Config> Current = readConfig();
  if (!ok(Current))
    return errorOf(Current);
  printLines(differences(valueOf(Current), valueOf(New)));
  return Done{};
}

Result<Done> CtlCommands::edit(const Edit &Change) {
  Result<Config> Read = readConfig();
  if (!ok(Read))
    return errorOf(Read);
  Config Base = valueOf(std::move(Read));
  for (int Tries = 0; Tries < MaxEdits; ++Tries) {
    Config New = Base;
    Result<Done> Edited = Change(New);
    if (!ok(Edited))
      return Edited;
    std::vector<std::string> Lines = differences(Base, New);
    if (Lines.empty()) {
      std::printf("nothing to change in %s\n", revisionText(Base).c_str());
      return Done{};
    }
    Result<Posted> Outcome = post(Base.ConfigRevision, New);
    if (!ok(Outcome))
      return errorOf(Outcome);
    if (valueOf(Outcome).Accepted) {
      printLines(Lines);
      std::printf(
          "revision %llu is accepted\n",
          static_cast<unsigned long long>(valueOf(Outcome).NewRevision));
      return Done{};
    }
    // A refused change is not in force, so its id can be used again.
    Base = std::move(valueOf(Outcome).Other);
  }
  return Error{ResultCode::Conflict,
               "other operators changed the configuration " +
                   std::to_string(MaxEdits) + " times meanwhile"};
}

Result<Done> CtlCommands::setZone(const std::string &Zone, ZoneState State) {
  return edit([&](Config &Document) -> Result<Done> {
    for (Region &Each : Document.Regions)
      for (AvailabilityZone &One : Each.Zones)
        if (One.Name.text() == Zone) {
          One.State = State;
          return Done{};
        }
    return Error{ResultCode::NotFound, "availability zone '" + Zone +
                                           "' is not in " +
                                           revisionText(Document)};
  });
}

Result<Done> CtlCommands::setBackend(const std::string &Name,
                                     BackendAdminState State) {
  return edit([&](Config &Document) -> Result<Done> {
    for (Service &Each : Document.Services)
      for (BackendServer &One : Each.BackendServers)
        if (One.Name.text() == Name) {
          One.State = State;
          return Done{};
        }
    return Error{ResultCode::NotFound, "backend server '" + Name +
                                           "' is not in " +
                                           revisionText(Document)};
  });
}

} // namespace mimosa
