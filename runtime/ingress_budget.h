// Limits the memory and the connections that the clients of all listening
// addresses of a process use together. Everything that untrusted bytes turn
// into counts: buffers, parsed fields and their copies, bodies, answers that
// are not read, and the stack of the connection's fiber.
//
//   IngressBudget Budget({MemoryBytes / 2, 1000});
//   IngressAddress Callers(Budget, 0.4);
//   IngressAddress Peers(Budget, 0.2);
//   auto Account = IngressAccount::open(Callers, Close, Now);
//   if (Account && Account->resize(HeldBytes, Now)) ...
//
// Each address has a share of its own, so that a flood at one address cannot
// keep another from serving. What the shares leave is a pool for all of them.
// Within an address, requests that hold much may use only a part, so that small
// requests are served beside them.
//
// If there is no room, the connection that holds most for longest is evicted,
// which may be the one that asks. Connections whose request is running are not
// evicted, since it would not be known whether the request has an effect.
//
// No I/O; the time is passed in. Designed for some thousands of connections: a
// search for a connection to evict visits all of them.

#ifndef MIMOSA_RUNTIME_INGRESS_BUDGET_H
#define MIMOSA_RUNTIME_INGRESS_BUDGET_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace mimosa {

class IngressAccount;
class IngressAddress;

/// Amounts that connections hold, or may hold.
struct IngressAmounts {
  size_t Bytes = 0;
  size_t Connections = 0;
};

class IngressBudget {
public:
  explicit IngressBudget(IngressAmounts Limit) : Limit(Limit) {}
  IngressBudget(const IngressBudget &) = delete;
  IngressBudget &operator=(const IngressBudget &) = delete;

  /// What all connections hold now.
  IngressAmounts used() const;
  /// Connections that were closed for lack of room since the start.
  uint64_t evictions() const { return Evictions; }
  /// Connections and requests that were refused for lack of room.
  uint64_t refusals() const { return Refusals; }

private:
  friend class IngressAccount;
  friend class IngressAddress;

  /// Makes room for \p More on top of what \p Asking holds, which is not
  /// counted for it yet.
  bool makeRoom(IngressAccount &Asking, IngressAmounts More, MonotonicTime Now);
  bool hasRoom(const IngressAddress &For, IngressAmounts More,
               double Part) const;
  IngressAccount *heaviest(const IngressAddress &For,
                           const IngressAccount &Asking,
                           MonotonicTime Now) const;

  IngressAmounts Limit;
  std::set<IngressAddress *> Addresses;
  uint64_t Evictions = 0;
  uint64_t Refusals = 0;
};

/// A listening address. Must outlive its accounts.
class IngressAddress {
public:
  /// \p Share is the part of the budget that only this address uses. The shares
  /// of all addresses add up to less than 1.
  IngressAddress(IngressBudget &Budget, double Share);
  ~IngressAddress();
  IngressAddress(const IngressAddress &) = delete;
  IngressAddress &operator=(const IngressAddress &) = delete;

  const IngressAmounts &used() const { return Used; }

private:
  friend class IngressAccount;
  friend class IngressBudget;

  IngressBudget &Budget;
  double Share;
  IngressAmounts Used;
  std::set<IngressAccount *> Accounts;
};

/// What one connection holds. Freed with the account.
class IngressAccount {
public:
  /// Memory that each connection holds without a request: the touched pages of
  /// its fiber's stack, and its objects.
  static constexpr size_t ConnectionBytes = 20 * 1024;
  /// Requests that hold no more may use the whole budget. A usual request has
  /// up to 20 fields and a body of up to 4 KiB.
  static constexpr size_t SmallBytes = 56 * 1024;

  /// Opens the account of a new connection; empty if there is no room.
  /// \p Evict closes the connection: it must not suspend, and must not free the
  /// account before it returns. What the account holds counts as freed.
  static std::unique_ptr<IngressAccount>
  open(IngressAddress &Address, std::function<void()> Evict, MonotonicTime Now);
  ~IngressAccount();
  IngressAccount(const IngressAccount &) = delete;
  IngressAccount &operator=(const IngressAccount &) = delete;

  /// States that the connection holds \p Bytes on top of ConnectionBytes. False
  /// if there is no room: it must not hold more than before.
  bool resize(size_t Bytes, MonotonicTime Now);
  /// The connection has served a request or is about to receive one: it counts
  /// as holding what it holds from now on.
  void restart(MonotonicTime Now) { Since = Now; }
  /// Whether the connection may be evicted.
  void setEvictable(bool Value) { Evictable = Value; }
  bool evicted() const { return Evicted; }

private:
  friend class IngressBudget;
  IngressAccount(IngressAddress &Address, std::function<void()> Evict,
                 MonotonicTime Now);
  bool large() const;
  double weight(MonotonicTime Now) const;
  void evict();

  IngressAddress &Address;
  std::function<void()> EvictCallback;
  IngressAmounts Held;
  MonotonicTime Since;
  bool Evictable = true;
  bool Evicted = false;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_INGRESS_BUDGET_H
