// Merges the records of shard results: selects the K greatest ones, compared
// byte by byte. Equal records are all kept.
//
//   TopRecords Top(K);
//   Top.add(ShardResult);               // for each shard
//   Top.sorted();

#ifndef MIMOSA_GATHER_TOP_RECORDS_H
#define MIMOSA_GATHER_TOP_RECORDS_H

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Size of a record; shorter bytes at the end of a shard result are ignored.
constexpr size_t RecordBytes = 16;

class TopRecords {
public:
  explicit TopRecords(size_t K) : K(K) {}

  /// Adds the records of one shard result, in any order.
  void add(std::string_view ShardResult);
  /// The selected records, greatest first.
  std::string sorted() const;

private:
  using Record = std::array<unsigned char, RecordBytes>;

  size_t K;
  /// The selected records, as a heap whose front is the least of them.
  std::vector<Record> Heap;
};

} // namespace mimosa

#endif // MIMOSA_GATHER_TOP_RECORDS_H
