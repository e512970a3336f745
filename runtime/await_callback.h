// Lets a fiber wait for an asynchronous operation that reports its outcome to a
// callback.
//
//   Result<StoredValue> Read = awaitCallback<Result<StoredValue>>(
//       [&](auto Finish) { Store.read(Key, Finish); });

#ifndef MIMOSA_RUNTIME_AWAIT_CALLBACK_H
#define MIMOSA_RUNTIME_AWAIT_CALLBACK_H

#include "runtime/fiber_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace mimosa {

/// Starts an operation with \p Start(Finish) and suspends the calling fiber
/// until Finish has been called with the outcome.
template <typename T>
T awaitCallback(const std::function<void(std::function<void(T)>)> &Start) {
  struct Wait {
    FiberEvent Finished;
    std::optional<T> Outcome;
  };
  auto State = std::make_shared<Wait>();
  Start([State](T Outcome) {
    State->Outcome = std::move(Outcome);
    State->Finished.set();
  });
  State->Finished.wait();
  return std::move(*State->Outcome);
}

} // namespace mimosa

#endif // MIMOSA_RUNTIME_AWAIT_CALLBACK_H
