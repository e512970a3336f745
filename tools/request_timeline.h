// What the logs of mimosa-entry hosts say about one request: its own lines,
// what its host believed about the backend servers it names and the platform,
// and the cause of its outcome in words.
//
//   RequestTimeline Timeline("9c41d07be2a35f68");
//   Timeline.read(In, "h1");          // once for each host's log
//   for (const std::string &Line : Timeline.report())
//     ...
//
// A line is "DATE TIME LEVEL part: key=value ...", with anything before it. The
// host is the one that the last line event=started names, or else the word
// before the date, or else the name given to read().

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
  /// From the date on.
  std::string Text;

  /// The value of \p Key, or nothing.
  std::string field(const std::string &Key) const;
};

/// Nothing if \p Line is not a line of a log.
std::optional<LogLine> parseLogLine(std::string_view Line);

/// The cause of a request's outcome in words, from its line.
std::vector<std::string> causesOf(const LogLine &Line);

class RequestTimeline {
public:
  explicit RequestTimeline(std::string RequestId) : Id(std::move(RequestId)) {}

  /// Reads a log; \p Host names its host if the lines do not.
  void read(std::istream &In, const std::string &Host);
  /// Whether a line of the request was found.
  bool found() const { return !Own.empty(); }
  /// Lines for an operator, in the order of time, then the causes.
  std::vector<std::string> report() const;

private:
  bool related(const LogLine &Line, const std::set<std::string> &Named) const;

  std::string Id;
  std::vector<LogLine> Own;
  /// Lines that tell what hosts believe.
  std::vector<LogLine> Beliefs;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_REQUEST_TIMELINE_H
