#include "gather/top_records.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace mimosa {

void TopRecords::add(std::string_view ShardResult) {
  for (size_t Offset = 0; Offset + RecordBytes <= ShardResult.size();
       Offset += RecordBytes) {
    Record R;
    std::memcpy(R.data(), ShardResult.data() + Offset, RecordBytes);
    if (Heap.size() < K) {
      Heap.push_back(R);
      std::push_heap(Heap.begin(), Heap.end(), std::greater<>());
    } else if (!Heap.empty() && R > Heap.front()) {
      std::pop_heap(Heap.begin(), Heap.end(), std::greater<>());
      Heap.back() = R;
      std::push_heap(Heap.begin(), Heap.end(), std::greater<>());
    }
  }
}

std::string TopRecords::sorted() const {
  std::vector<Record> Sorted = Heap;
  std::sort(Sorted.begin(), Sorted.end(), std::greater<>());
  std::string Out;
  Out.reserve(Sorted.size() * RecordBytes);
  for (const Record &R : Sorted)
    Out.append(reinterpret_cast<const char *>(R.data()), RecordBytes);
  return Out;
}

} // namespace mimosa
