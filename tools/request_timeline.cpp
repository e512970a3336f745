#include "tools/request_timeline.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace mimosa {

namespace {

/// An event that decided the outcome of a request is logged at most this long
/// before the line of the request. Ejections, leases and outages of the store
/// are shorter.
constexpr int64_t RelatedBeforeMs = 15000;
/// Later events than this are not reported.
constexpr int64_t RelatedAfterMs = 1000;
/// "YYYY-MM-DD hh:mm:ss.mmm"
constexpr size_t TimeLength = 23;

/// Events that may affect every request of a host.
const std::set<std::string> HostWideEvents = {
    "started",        "stopping",   "stopped",        "reloaded",
    "config_applied", "store_lost", "store_regained", "leader_lost",
    "listed",         "adopted",    "history_lost",   "zones_out",
    "config_rejected"};

struct Explanation {
  const char *Key;
  const char *Text;
};

constexpr Explanation RefusalReasons[] = {
    {"unconfigured", "the host had just started and had no configuration yet"},
    {"stopping", "the host was in a planned stop"},
    {"shards_unavailable", "too many shards were unavailable to reach the "
                           "minimum coverage of the route"},
    {"unavailable", "no backend server of the service could be reached"},
    {"overloaded", "the queue was too long for an answer before the deadline"},
    {"shed", "the backend servers declined it because of their load"},
    {"shards_held_back", "the backend servers of too many shards had asked for "
                         "fewer requests, a pause or none"},
    {"held_back", "the backend servers of the service had asked for fewer "
                  "requests, a pause or none"},
    {"waited_too_long", "its deadline had passed before the host began with "
                        "it"},
    {"crashes_backend_servers", "the request is quarantined, because earlier "
                                "attempts lost the connection to their backend "
                                "servers"},
    {"no_target", "all weights of the route are 0"},
};

constexpr Explanation OtherOutcomes[] = {
    {"answered", "the request was answered completely"},
    {"partial", "the request was answered without some shards"},
    {"lost", "the connection to a backend server ended after the request was "
             "sent and before the answer, so the request may have run"},
    {"timeout", "the backend servers did not answer before the deadline, so "
                "the request may have run"},
    {"backend_failure", "a backend server ran the request and answered with a "
                        "failure"},
    {"caller_left", "the caller closed the connection before the answer"},
    {"no_route", "no route of this configuration version matches the host name "
                 "and path of the request"},
    {"bad_request", "the request is not valid"},
};

template <size_t Size>
std::string explain(const Explanation (&Table)[Size], const std::string &Key) {
  for (const Explanation &E : Table)
    if (Key == E.Key)
      return E.Text;
  return Key.empty() ? "the line gives no reason" : "unknown: " + Key;
}

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Out;
  size_t Begin = 0;
  while (Begin < Text.size()) {
    size_t End = std::min(Text.find(Separator, Begin), Text.size());
    Out.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Out;
}

bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// Returns the position of the date in \p Line, or npos.
size_t findDate(std::string_view Line) {
  for (size_t At = 0; At + TimeLength < Line.size(); ++At) {
    std::string_view Rest = Line.substr(At);
    bool DateFormat = Rest[4] == '-' && Rest[7] == '-' && Rest[10] == ' ' &&
                      Rest[13] == ':' && Rest[16] == ':' && Rest[19] == '.';
    if (DateFormat && isDigit(Rest[0]) && isDigit(Rest[22]))
      return At;
  }
  return std::string_view::npos;
}

std::optional<int64_t> parseTime(const std::string &Text) {
  std::tm Time{};
  int Millis = 0;
  if (std::sscanf(Text.c_str(), "%4d-%2d-%2d %2d:%2d:%2d.%3d", &Time.tm_year,
                  &Time.tm_mon, &Time.tm_mday, &Time.tm_hour, &Time.tm_min,
                  &Time.tm_sec, &Millis) != 7)
    return std::nullopt;
  Time.tm_year -= 1900;
  Time.tm_mon -= 1;
  return static_cast<int64_t>(timegm(&Time)) * 1000 + Millis;
}

std::map<std::string, std::string> parseFields(std::string_view Text) {
  std::map<std::string, std::string> Out;
  size_t At = 0;
  while (At < Text.size()) {
    size_t Equals = Text.find('=', At);
    if (Equals == std::string_view::npos)
      break;
    size_t KeyBegin = Text.rfind(' ', Equals);
    KeyBegin =
        KeyBegin == std::string_view::npos || KeyBegin < At ? At : KeyBegin + 1;
    size_t Begin = Equals + 1;
    bool Quoted = Begin < Text.size() && Text[Begin] == '"';
    Begin += Quoted ? 1 : 0;
    size_t End = std::min(Text.find(Quoted ? '"' : ' ', Begin), Text.size());
    Out.emplace(Text.substr(KeyBegin, Equals - KeyBegin),
                Text.substr(Begin, End - Begin));
    At = std::min(Text.size(), End + 1);
  }
  return Out;
}

/// Explains why a shard did not answer. \p Text is one value of the field
/// "unfinished":
/// "SHARD[:waiting][:SERVER]...[:no_hedge_server][:no_retry_budget]".
std::string shardCause(const std::string &Text) {
  std::vector<std::string> Words = split(Text, ':');
  std::string Servers;
  std::string Notes;
  for (size_t I = 1; I < Words.size(); ++I) {
    if (Words[I] == "waiting")
      Notes += "; it waited, because all its backend servers "
               "were at their request limit";
    else if (Words[I] == "no_hedge_server")
      Notes += "; no other backend server was expected to answer in time";
    else if (Words[I] == "no_retry_budget")
      Notes += "; the retry budget of the service was used up";
    else
      Servers += (Servers.empty() ? "" : " and ") + Words[I];
  }
  std::string Sent =
      Servers.empty() ? "not sent" : "sent to " + Servers + ", no answer yet";
  return "shard " + Words.front() + ": " + Sent + Notes;
}

/// Explains which words of which backend servers held a call back. \p Text is
/// one value of the field "held_back": "SERVICE[:SERVER/WORD/AGE]...".
std::string heldBackCause(const std::string &Text) {
  std::vector<std::string> Words = split(Text, ':');
  std::string Out = "service " + Words.front() + ":";
  for (size_t I = 1; I < Words.size(); ++I) {
    std::vector<std::string> Parts = split(Words[I], '/');
    if (Parts.size() == 3)
      Out += (I == 1 ? " " : ", ") + Parts[0] + " " + Parts[1] + " (heard " +
             Parts[2] + " ms before)";
  }
  return Words.size() == 1 ? Out + " no backend server is held back any more"
                           : Out;
}

/// The backend servers and services that a line of the request names.
std::set<std::string> namesIn(const LogLine &Line) {
  std::set<std::string> Out;
  for (const char *Key : {"server", "service"})
    if (!Line.field(Key).empty())
      Out.insert(Line.field(Key));
  for (const std::string &Shard : split(Line.field("unfinished"), ','))
    for (const std::string &Word : split(Shard, ':'))
      Out.insert(Word);
  for (const std::string &Service : split(Line.field("held_back"), ','))
    for (const std::string &Word : split(Service, ':'))
      Out.insert(Word.substr(0, Word.find('/')));
  return Out;
}

} // namespace

std::string LogLine::field(const std::string &Key) const {
  auto Found = Fields.find(Key);
  return Found == Fields.end() ? "" : Found->second;
}

std::optional<LogLine> parseLogLine(std::string_view Line) {
  size_t Date = findDate(Line);
  if (Date == std::string_view::npos)
    return std::nullopt;
  LogLine Out;
  Out.Text = std::string(Line.substr(Date));
  auto At = parseTime(Out.Text);
  size_t Colon = Out.Text.find(": ", TimeLength);
  if (!At || Colon == std::string::npos)
    return std::nullopt;
  Out.AtMs = *At;
  size_t Part = Out.Text.rfind(' ', Colon) + 1;
  Out.Part = Out.Text.substr(Part, Colon - Part);
  Out.Fields = parseFields(std::string_view(Out.Text).substr(Colon + 2));
  std::vector<std::string> Before =
      split(std::string(Line.substr(0, Date)), ' ');
  if (!Before.empty())
    Out.Host = Before.back();
  return Out;
}

std::vector<std::string> causesOf(const LogLine &Line) {
  std::string Outcome = Line.field("outcome");
  std::string Reason = Line.field("reason");
  std::vector<std::string> HeldBack;
  for (const std::string &Service : split(Line.field("held_back"), ','))
    HeldBack.push_back(heldBackCause(Service));
  std::vector<std::string> Out;
  if (Outcome == "refused") {
    Out = {"the request was refused and has not run: " +
           explain(RefusalReasons, Reason)};
    Out.insert(Out.end(), HeldBack.begin(), HeldBack.end());
    return Out;
  }
  Out = {explain(OtherOutcomes, Outcome)};
  if (!Line.field("elapsed_us").empty())
    Out.front() += ", after " + Line.field("elapsed_us") + " us";
  if (!Reason.empty() && Reason != "none" && Outcome != "bad_request")
    Out.push_back("the last failed attempt: " +
                  (Reason == "deadline" || Reason == "lost"
                       ? Reason
                       : explain(RefusalReasons, Reason)));
  for (const std::string &Shard : split(Line.field("unfinished"), ','))
    Out.push_back(shardCause(Shard));
  Out.insert(Out.end(), HeldBack.begin(), HeldBack.end());
  return Out;
}

void RequestTimeline::read(std::istream &In, const std::string &Host) {
  std::string Started;
  std::string Text;
  while (std::getline(In, Text)) {
    std::optional<LogLine> Line = parseLogLine(Text);
    if (!Line)
      continue;
    if (Line->field("event") == "started")
      Started = Line->field("host");
    if (Line->Host.empty())
      Line->Host = Started.empty() ? Host : Started;
    if (Line->field("request") == Id)
      RequestLines.push_back(std::move(*Line));
    else if (!Line->field("event").empty() && Line->field("request").empty())
      HostEvents.push_back(std::move(*Line));
  }
}

bool RequestTimeline::related(const LogLine &Event,
                              const std::set<std::string> &Names) const {
  bool Near = std::any_of(
      RequestLines.begin(), RequestLines.end(), [&](const LogLine &L) {
        return L.Host == Event.Host && Event.AtMs >= L.AtMs - RelatedBeforeMs &&
               Event.AtMs <= L.AtMs + RelatedAfterMs;
      });
  return Near && (HostWideEvents.count(Event.field("event")) != 0 ||
                  Names.count(Event.field("server")) != 0 ||
                  Names.count(Event.field("service")) != 0);
}

std::vector<std::string> RequestTimeline::report() const {
  std::set<std::string> Names;
  for (const LogLine &L : RequestLines)
    Names.merge(namesIn(L));
  std::vector<const LogLine *> Lines;
  for (const LogLine &L : RequestLines)
    Lines.push_back(&L);
  for (const LogLine &L : HostEvents)
    if (related(L, Names))
      Lines.push_back(&L);
  std::stable_sort(
      Lines.begin(), Lines.end(),
      [](const LogLine *A, const LogLine *B) { return A->AtMs < B->AtMs; });
  std::vector<std::string> Out;
  Out.reserve(Lines.size());
  for (const LogLine *L : Lines)
    Out.push_back((L->Host.empty() ? "" : L->Host + " ") + L->Text);
  for (const LogLine &L : RequestLines) {
    if (L.field("outcome").empty())
      continue;
    for (const std::string &Cause : causesOf(L))
      Out.push_back("cause: " + Cause);
  }
  return Out;
}

} // namespace mimosa
