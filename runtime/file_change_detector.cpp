#include "runtime/file_change_detector.h"

#include <sys/stat.h>

namespace mimosa {

FileChangeDetector::FileChangeDetector(std::string Path)
    : Path(std::move(Path)) {
  LastState = read();
}

FileChangeDetector::FileState FileChangeDetector::read() const {
  struct stat Info = {};
  if (Path.empty() || stat(Path.c_str(), &Info) != 0)
    return {};
  return {Info.st_mtim.tv_sec * 1000000000LL + Info.st_mtim.tv_nsec,
          Info.st_size};
}

bool FileChangeDetector::changed() {
  FileState Current = read();
  bool Differs = Current.ModifiedNs != LastState.ModifiedNs ||
                 Current.Bytes != LastState.Bytes;
  LastState = Current;
  return Differs;
}

} // namespace mimosa
