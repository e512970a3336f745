#include "tools/ctl_commands.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace mimosa {

namespace {

/// How often an edit of one item is attempted in a row of conflicts.
constexpr int MaxEditAttempts = 10;
constexpr size_t MaxOperatorBytes = 64;

enum ExitStatus { Succeeded, Failed, UsageError, ConflictFound, TimedOut };

/// Returns the name of the operator and a random number, such as
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

/// Parses a document that may lack "revision" and "change_id", which a change
/// sets. In a system without a configuration, the change id is empty.
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

/// Reads the document in \p Path. *\p HasRevision becomes whether it states its
/// revision.
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

std::string joinIndented(const std::vector<std::string> &Lines) {
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
    R"(command line tool for the operators of mimosawall

Commands:
  show                print the active configuration as JSON
  apply FILE          make FILE the active configuration and print what
                      changed; FILE is a JSON document, - is standard input
  diff FILE           print what apply FILE would change
  wait [REVISION]     wait until every live host has REVISION, by default the
                      highest of any host; print the revision of each host
  zone-out ZONE       evacuate an availability zone: send no new work to it
  zone-in ZONE        send work to it again
  drain BACKEND       send no new work to a backend server
  undrain BACKEND     send work to it again
  hosts               print the hosts in the daemon's member list
  status              print the state of the daemon and its backend servers
  explain REQUEST-ID [LOG...]
                      print the lines of a request and related events from
                      logs of mimosa-entry, and the cause of the request's
                      outcome; without LOG, read standard input
  rollouts STORE [SERVICE]
                      print the orders to move traffic in the store at STORE:
                      state, evidence and who decided
  check SETTINGS      check a settings file of mimosa-entry or its template

explain, check and rollouts need no --daemon.

apply fails if FILE was made from another revision than the active one, and
prints what the other operator changed. The revision from which FILE was made
is that of --expected-revision, --base or the field "revision" of FILE, in this
order. A FILE without one replaces the revision that is active when the command
starts.

Exit statuses: 0 done; 1 failed, nothing was changed; 2 wrong usage; 3 conflict
with another operator, nothing was changed; 4 timed out, and a change may have
taken effect.
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
    size_t MinArguments;
    size_t MaxArguments;
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
  if (Arguments < It->second.MinArguments)
    return usageError("command " + Name + " needs an argument");
  if (Arguments > It->second.MaxArguments)
    return usageError("command " + Name + " does not take argument '" +
                      Words.back() + "'");
  return It->second.Run();
}

Result<Json> CtlCommands::readJson(const std::string &Target) {
  Result<HttpResponse> Response = Client.read(Target);
  if (!ok(Response))
    return errorOf(Response);
  if (valueOf(Response).Status != 200)
    return resultInResponse(valueOf(Response));
  return parseJson(valueOf(Response).Body);
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

Result<CtlCommands::PostResult> CtlCommands::post(Revision Expected,
                                                  const Config &Document) {
  Json Body = {{"expected_revision", Expected.number()},
               {"change_id", ChangeId},
               {"config", configJson(Document)}};
  DaemonClient::ChangeResult Sent = Client.change(Body.dump());
  if (!ok(Sent.Response))
    return errorOf(Sent.Response);
  const HttpResponse &Response = valueOf(Sent.Response);
  Error Refusal = resultInResponse(Response);
  Result<Json> Parsed = parseJson(Response.Body);
  if (!ok(Parsed))
    return Error{ResultCode::OutcomeUnknown,
                 "the daemon's response to the change is not valid JSON; read "
                 "the configuration to see whether the change took effect"};
  if (Refusal.Code != ResultCode::Ok && Refusal.Code != ResultCode::Conflict) {
    // An earlier attempt whose response was lost may have taken effect.
    if (Sent.HasUnknownAttempt)
      return Error{ResultCode::OutcomeUnknown,
                   "an earlier attempt of the change may have taken effect; a "
                   "later one was refused: " +
                       Refusal.Message};
    return Refusal;
  }
  PostResult Out;
  Out.Accepted = Refusal.Code == ResultCode::Ok;
  Out.NewRevision = valueOf(Parsed).value("revision", uint64_t(0));
  if (Out.Accepted)
    return Out;
  // The response to this change may have been lost, and another change may
  // have replaced it since.
  if (Sent.HasUnknownAttempt && Out.NewRevision > Expected.number() + 1)
    return Error{ResultCode::OutcomeUnknown,
                 "the change may have taken effect and been replaced since: " +
                     Refusal.Message};
  Out.Conflict = Refusal;
  Result<Config> Active = parseDocument(valueOf(Parsed).value("config", Json()),
                                        "the active document");
  if (!ok(Active))
    return errorOf(Active);
  Out.ActiveDocument = valueOf(std::move(Active));
  return Out;
}

/// Returns the document from which \p New was made: --base or else \p Current,
/// with the revision that the change has to replace.
Result<Config> CtlCommands::baseDocument(const Config &Current,
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

/// Describes a conflict by the differences between \p Base and the active
/// document. If the document of the expected revision is not available, \p Base
/// is null and the active document is compared with \p New.
Error CtlCommands::conflictError(const Config *Base, const Config &New,
                                 const PostResult &Outcome) {
  std::string Message = Outcome.Conflict.Message + "; nothing was changed. ";
  if (Base)
    Message += "The other operators changed:" +
               joinIndented(differences(*Base, Outcome.ActiveDocument));
  else
    Message += "The file would change the active document as follows, which "
               "may undo another operator's change:" +
               joinIndented(differences(Outcome.ActiveDocument, New));
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
  Result<Config> Base = baseDocument(valueOf(Current), valueOf(New));
  if (!ok(Base))
    return errorOf(Base);
  Revision Expected = valueOf(Base).ConfigRevision;
  Result<PostResult> Outcome = post(Expected, valueOf(New));
  if (!ok(Outcome))
    return errorOf(Outcome);
  if (valueOf(Outcome).Accepted) {
    printLines(differences(valueOf(Base), valueOf(New)));
    std::printf("revision %llu is accepted\n",
                static_cast<unsigned long long>(valueOf(Outcome).NewRevision));
    return Done{};
  }
  bool BaseAvailable =
      !Options.Base.empty() || valueOf(Current).ConfigRevision == Expected;
  return conflictError(BaseAvailable ? &valueOf(Base) : nullptr, valueOf(New),
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
  for (int Attempt = 0; Attempt < MaxEditAttempts; ++Attempt) {
    Config New = Base;
    Result<Done> Edited = Change(New);
    if (!ok(Edited))
      return Edited;
    std::vector<std::string> Lines = differences(Base, New);
    if (Lines.empty()) {
      std::printf("nothing to change in %s\n", revisionText(Base).c_str());
      return Done{};
    }
    Result<PostResult> Outcome = post(Base.ConfigRevision, New);
    if (!ok(Outcome))
      return errorOf(Outcome);
    if (valueOf(Outcome).Accepted) {
      printLines(Lines);
      std::printf(
          "revision %llu is accepted\n",
          static_cast<unsigned long long>(valueOf(Outcome).NewRevision));
      return Done{};
    }
    // A change that met a conflict had no effect, so its id can be used again.
    Base = std::move(valueOf(Outcome).ActiveDocument);
  }
  return Error{ResultCode::Conflict,
               "nothing was changed: other operators changed the "
               "configuration during each of " +
                   std::to_string(MaxEditAttempts) +
                   " attempts; run the command again"};
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
