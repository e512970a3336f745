// Collects from the logs of mimosa-entry hosts the lines of one request and the
// events that may have decided its outcome: those of its backend servers, its
// services, its host and the platform. Explains the cause of the outcome.
//
//   RequestTimeline Timeline("9c41d07be2a35f68");
//   Timeline.read(In, "h1");          // once for each host's log
//   for (const std::string &Line : Timeline.report())
//     ...
//
// A line is "DATE TIME LEVEL part: key=value ..." and may have a prefix. Its
// host is the word before the date or, without a prefix, the host of the last
// line event=started or, without such a line, the name passed to read().

#ifndef MIMOSA_TOOLS_REQUEST_TIMELINE_H
#define MIMOSA_TOOLS_REQUEST_TIMELINE_H

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// One line of a log.
struct LogLine {
  /// Milliseconds since the epoch, as written.
  int64_t AtMs = 0;
  std::string Host;
  std::string Part;
  std::map<std::string, std::string> Fields;
  /// The line without its prefix.
  std::string Text;

  /// The value of \p Key, or "".
  std::string field(const std::string &Key) const;
};

/// Returns nothing if \p Line is not a log line.
std::optional<LogLine> parseLogLine(std::string_view Line);

/// Explains the outcome of a request, given the line that states it.
std::vector<std::string> causesOf(const LogLine &Line);

class RequestTimeline {
public:
  explicit RequestTimeline(std::string RequestId) : Id(std::move(RequestId)) {}

  /// Reads a log; \p Host is the host of lines that do not name one.
  void read(std::istream &In, const std::string &Host);
  /// Whether a line of the request was found.
  bool found() const { return !RequestLines.empty(); }
  /// The lines of the request and the related events, ordered by time, then
  /// the causes of the outcome.
  std::vector<std::string> report() const;

private:
  /// Whether \p Event may have decided the outcome of the request. \p Names
  /// are the backend servers and services that the request's lines name.
  bool related(const LogLine &Event, const std::set<std::string> &Names) const;

  std::string Id;
  std::vector<LogLine> RequestLines;
  /// Events of the hosts that belong to no single request.
  std::vector<LogLine> HostEvents;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_REQUEST_TIMELINE_H
