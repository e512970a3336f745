// Limits the memory that a process uses for message bodies which are still
// being received, over all its connections. A peer that sends a body without
// end would otherwise use all memory of a small host.
//
// Each connection has a small allowance of its own, so that a few peers that
// use up the budget do not keep others from sending bodies of usual size.

#ifndef MIMOSA_RUNTIME_RECEIVE_BUDGET_H
#define MIMOSA_RUNTIME_RECEIVE_BUDGET_H

#include <cstddef>

namespace mimosa {

class ReceiveBudget {
public:
  /// The usual size of an answer.
  static constexpr size_t DefaultAllowance = 64 * 1024;

  /// The first \p AllowanceBytes of each body need no budget.
  explicit ReceiveBudget(size_t LimitBytes,
                         size_t AllowanceBytes = DefaultAllowance)
      : LimitBytes(LimitBytes), AllowanceBytes(AllowanceBytes) {}
  ReceiveBudget(const ReceiveBudget &) = delete;
  ReceiveBudget &operator=(const ReceiveBudget &) = delete;

  size_t usedBytes() const { return UsedBytes; }

  /// One connection's part of the budget.
  class Share {
  public:
    explicit Share(ReceiveBudget &Budget) : Budget(Budget) {}
    ~Share() { reset(); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Adjusts the share to a body of \p BodyBytes so far; false if the budget
    /// does not allow it.
    bool resize(size_t BodyBytes) {
      size_t Needed = BodyBytes > Budget.AllowanceBytes
                          ? BodyBytes - Budget.AllowanceBytes
                          : 0;
      size_t Others = Budget.UsedBytes - Bytes;
      if (Needed > 0 && Others + Needed > Budget.LimitBytes)
        return false;
      Budget.UsedBytes = Others + Needed;
      Bytes = Needed;
      return true;
    }
    void reset() { resize(0); }

  private:
    ReceiveBudget &Budget;
    size_t Bytes = 0;
  };

private:
  size_t LimitBytes;
  size_t AllowanceBytes;
  size_t UsedBytes = 0;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_RECEIVE_BUDGET_H
