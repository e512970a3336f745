// Merges the records of the parts of one answer: keeps the greatest ones,
// compared byte by byte; equal records all count.

#ifndef MIMOSA_GATHER_TOP_RECORDS_H
#define MIMOSA_GATHER_TOP_RECORDS_H

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Bytes of one record; a shorter rest of a part is not a record.
constexpr size_t RecordBytes = 16;

class TopRecords {
public:
  explicit TopRecords(size_t Limit) : Limit(Limit) {}

  /// Adds the records of one part, in any order.
  void add(std::string_view Part);
  /// The greatest records, greatest first.
  std::string sorted() const;

private:
  using Record = std::array<unsigned char, RecordBytes>;

  size_t Limit;
  /// A heap whose front is the least of the records kept.
  std::vector<Record> Heap;
};

} // namespace mimosa

#endif // MIMOSA_GATHER_TOP_RECORDS_H
