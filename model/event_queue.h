// A virtual clock and the functions that are due on it, in order of time and of
// their addition.

#ifndef MIMOSA_MODEL_EVENT_QUEUE_H
#define MIMOSA_MODEL_EVENT_QUEUE_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace mimosa {

class EventQueue {
public:
  using Key = std::pair<MonotonicTime, uint64_t>;

  MonotonicTime now() const { return Now; }

  /// Calls \p Function at \p At, or as soon as possible if \p At has passed.
  Key add(MonotonicTime At, std::function<void()> Function) {
    Key Added{std::max(At, Now), ++LastSequence};
    Events.emplace(Added, std::move(Function));
    return Added;
  }
  void remove(Key Added) { Events.erase(Added); }

  /// Runs all events that are due before \p End.
  void runUntil(MonotonicTime End) {
    while (!Events.empty() && Events.begin()->first.first < End) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key().first;
      Next.mapped()();
    }
    Now = End;
  }

private:
  MonotonicTime Now;
  uint64_t LastSequence = 0;
  std::map<Key, std::function<void()>> Events;
};

} // namespace mimosa

#endif // MIMOSA_MODEL_EVENT_QUEUE_H
