// Detects changes of a file by its modification time and size.
//
//   FileChangeDetector Detector("mimosa.conf");
//   ...
//   if (Detector.changed())
//     reload();

#ifndef MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H
#define MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H

#include <cstdint>
#include <string>

namespace mimosa {

class FileChangeDetector {
public:
  /// An empty \p Path stands for no file: changed() is then always false.
  explicit FileChangeDetector(std::string Path);
  /// Whether the file has changed since the previous call, or since the
  /// construction.
  bool changed();

private:
  /// All zero if there is no file.
  struct FileState {
    int64_t ModifiedNs = 0;
    int64_t Bytes = 0;
  };
  FileState read() const;

  std::string Path;
  FileState LastState;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_FILE_CHANGE_DETECTOR_H
