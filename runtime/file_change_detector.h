// Tells whether a file has changed since it was last asked, by its modification
// time and size; an empty path never changes.

#ifndef MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H
#define MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H

#include <cstdint>
#include <string>

namespace mimosa {

class FileChangeDetector {
public:
  explicit FileChangeDetector(std::string Path);
  bool changed();

private:
  /// Modification time in nanoseconds and size; zeros if there is no file.
  struct Mark {
    int64_t ModifiedNs = 0;
    int64_t Bytes = 0;
  };
  Mark read() const;

  std::string Path;
  Mark Known;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H
