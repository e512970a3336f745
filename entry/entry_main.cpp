// Main program of mimosa-entry, the entry daemon for the users' platform.

#include "entry/entry_node.h"
#include "runtime/file_change_detector.h"
#include "runtime/log.h"

#include <cstdio>
#include <cstdlib>
#include <random>

namespace {

/// Interval at which the settings file is checked for changes.
constexpr mimosa::Duration SettingsCheckInterval = mimosa::Seconds(2);

/// Reads the settings again; keeps the current ones if they are invalid.
void reload(mimosa::EntryNode &Node, int Argc, char **Argv) {
  std::optional<int> Exit;
  mimosa::EntryOptions Options = mimosa::parseEntryOptions(Argc, Argv, &Exit);
  if (Exit)
    mimosa::logError("node", "event=reload_failed");
  else
    Node.reload(Options);
}

int serve(mimosa::FiberLoop &Loop, const mimosa::EntryOptions &Options,
          int Argc, char **Argv) {
  std::random_device Entropy;
  mimosa::EntryNode Node(Loop, Options, Entropy());
  mimosa::Result<mimosa::Done> Started = Node.start();
  if (!ok(Started)) {
    mimosa::logError("node", errorOf(Started).Message);
    mimosa::flushLog();
    return 2;
  }
  Loop.onReload([&] { reload(Node, Argc, Argv); });
  mimosa::FileChangeDetector Settings(Options.SettingsFile);
  mimosa::ScopedTimer Check = Loop.every(SettingsCheckInterval, [&] {
    if (Settings.changed())
      reload(Node, Argc, Argv);
  });
  Loop.waitForStop();
  Node.stop();
  std::_Exit(0);
}

} // namespace

int main(int Argc, char **Argv) {
  mimosa::deferSignals();
  std::optional<int> Exit;
  mimosa::EntryOptions Options = mimosa::parseEntryOptions(Argc, Argv, &Exit);
  if (Exit)
    return *Exit;
  mimosa::Result<mimosa::Done> LogReady =
      mimosa::configureLog(Options.LogLevel, mimosa::LogSink::BufferedStdout);
  if (!ok(LogReady)) {
    std::fprintf(stderr, "mimosa-entry: %s\n",
                 errorOf(LogReady).Message.c_str());
    return 2;
  }
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] { Status = serve(Loop, Options, Argc, Argv); });
  std::_Exit(Status);
}
