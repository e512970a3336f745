#include "gather/top_records.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace mimosa {

void TopRecords::add(std::string_view Part) {
  for (size_t At = 0; At + RecordBytes <= Part.size(); At += RecordBytes) {
    Record R;
    std::memcpy(R.data(), Part.data() + At, RecordBytes);
    if (Kept.size() < Limit) {
      Kept.push_back(R);
      std::push_heap(Kept.begin(), Kept.end(), std::greater<>());
    } else if (!Kept.empty() && R > Kept.front()) {
      std::pop_heap(Kept.begin(), Kept.end(), std::greater<>());
      Kept.back() = R;
      std::push_heap(Kept.begin(), Kept.end(), std::greater<>());
    }
  }
}

std::string TopRecords::take() const {
  std::vector<Record> Sorted = Kept;
  std::sort(Sorted.begin(), Sorted.end(), std::greater<>());
  std::string Out;
  Out.reserve(Sorted.size() * RecordBytes);
  for (const Record &R : Sorted)
    Out.append(reinterpret_cast<const char *>(R.data()), RecordBytes);
  return Out;
}

} // namespace mimosa
