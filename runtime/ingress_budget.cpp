#include "runtime/ingress_budget.h"

#include <utility>

namespace mimosa {

namespace {

/// Part of the budget for requests that hold more than
/// IngressAccount::SmallBytes. The rest is left for usual requests, also while
/// large ones run and cannot be evicted.
constexpr double LargePart = 0.75;
/// Added to the time for which bytes have been held, so that new connections
/// are compared by their bytes.
constexpr Duration NewAge = Milliseconds(100);

/// Weight of a byte that a connection holds without a request. Idle connections
/// of well-behaved clients are kept for many seconds, so they would otherwise
/// be closed before those that hold requests for less time.
constexpr double IdleWeight = 0.125;

size_t excess(size_t Used, double Share) {
  auto Own = static_cast<size_t>(Share);
  return Used > Own ? Used - Own : 0;
}

} // namespace

IngressAmounts IngressBudget::used() const {
  IngressAmounts Out;
  for (const IngressAddress *Each : Addresses) {
    Out.Bytes += Each->Used.Bytes;
    Out.Connections += Each->Used.Connections;
  }
  return Out;
}

bool IngressBudget::hasRoom(const IngressAddress &For, IngressAmounts More,
                            double Part) const {
  double Pool = Part;
  IngressAmounts Beyond;
  for (const IngressAddress *Each : Addresses) {
    double Share = Each->Share * Part;
    Pool -= Share;
    IngressAmounts Amounts = Each->Used;
    if (Each == &For) {
      Amounts.Bytes += More.Bytes;
      Amounts.Connections += More.Connections;
    }
    IngressAmounts Excess{
        excess(Amounts.Bytes, Share * static_cast<double>(Limit.Bytes)),
        excess(Amounts.Connections,
               Share * static_cast<double>(Limit.Connections))};
    if (Each == &For && Excess.Bytes == 0 && Excess.Connections == 0)
      return true;
    // An address that asks only for what its own share has room for does not
    // depend on the pool.
    if (Each == &For && More.Connections == 0)
      Excess.Connections = 0;
    Beyond.Bytes += Excess.Bytes;
    Beyond.Connections += Excess.Connections;
  }
  return static_cast<double>(Beyond.Bytes) <=
             Pool * static_cast<double>(Limit.Bytes) &&
         (More.Connections == 0 ||
          static_cast<double>(Beyond.Connections) <=
              Pool * static_cast<double>(Limit.Connections));
}

IngressAccount *IngressBudget::heaviest(const IngressAddress &For,
                                        const IngressAccount &Asking,
                                        MonotonicTime Now) const {
  IngressAccount *Out = nullptr;
  std::pair<bool, double> Greatest = {false, 0};
  for (const IngressAddress *Each : Addresses) {
    bool UsesPool =
        excess(Each->Used.Bytes,
               Each->Share * static_cast<double>(Limit.Bytes)) > 0 ||
        excess(Each->Used.Connections,
               Each->Share * static_cast<double>(Limit.Connections)) > 0;
    if (Each != &For && !UsesPool)
      continue;
    for (IngressAccount *Account : Each->Accounts) {
      // Usual requests are closed only if no large one can be.
      std::pair<bool, double> Weight = {Account->large(), Account->weight(Now)};
      if ((Account->Evictable || Account == &Asking) && Weight > Greatest) {
        Greatest = Weight;
        Out = Account;
      }
    }
  }
  return Out;
}

bool IngressBudget::makeRoom(IngressAccount &Asking, IngressAmounts More,
                             MonotonicTime Now) {
  // The asking connection is weighed with what it asks for.
  Asking.Held.Bytes += More.Bytes;
  double Part = Asking.large() ? LargePart : 1;
  while (!hasRoom(Asking.Address, More, Part)) {
    IngressAccount *Heaviest = heaviest(Asking.Address, Asking, Now);
    if (!Heaviest || Heaviest == &Asking)
      break;
    ++Evictions;
    Heaviest->evict();
  }
  Asking.Held.Bytes -= More.Bytes;
  bool Out = hasRoom(Asking.Address, More, Part);
  Refusals += Out ? 0 : 1;
  return Out;
}

IngressAddress::IngressAddress(IngressBudget &Budget, double Share)
    : Budget(Budget), Share(Share) {
  Budget.Addresses.insert(this);
}

IngressAddress::~IngressAddress() { Budget.Addresses.erase(this); }

IngressAccount::IngressAccount(IngressAddress &Address,
                               std::function<void()> Evict, MonotonicTime Now)
    : Address(Address), EvictCallback(std::move(Evict)), Since(Now) {}

std::unique_ptr<IngressAccount>
IngressAccount::open(IngressAddress &Address, std::function<void()> Evict,
                     MonotonicTime Now) {
  std::unique_ptr<IngressAccount> Out(
      new IngressAccount(Address, std::move(Evict), Now));
  IngressAmounts More{ConnectionBytes, 1};
  if (!Address.Budget.makeRoom(*Out, More, Now)) {
    // It holds nothing, and must not be evicted.
    Out->Evicted = true;
    return nullptr;
  }
  Out->Held = More;
  Address.Used.Bytes += More.Bytes;
  Address.Used.Connections += More.Connections;
  Address.Accounts.insert(Out.get());
  return Out;
}

IngressAccount::~IngressAccount() {
  Address.Accounts.erase(this);
  Address.Used.Bytes -= Held.Bytes;
  Address.Used.Connections -= Held.Connections;
}

bool IngressAccount::resize(size_t Bytes, MonotonicTime Now) {
  if (Evicted)
    return false;
  size_t Needed = ConnectionBytes + Bytes;
  if (Needed > Held.Bytes &&
      !Address.Budget.makeRoom(*this, {Needed - Held.Bytes, 0}, Now))
    return false;
  Address.Used.Bytes += Needed - Held.Bytes;
  Held.Bytes = Needed;
  return true;
}

bool IngressAccount::large() const {
  return Held.Bytes > ConnectionBytes + SmallBytes;
}

double IngressAccount::weight(MonotonicTime Now) const {
  double Bytes =
      static_cast<double>(Held.Bytes) - ConnectionBytes * (1 - IdleWeight);
  return Bytes * inSeconds(Now - Since + NewAge);
}

void IngressAccount::evict() {
  Evicted = true;
  Address.Accounts.erase(this);
  Address.Used.Bytes -= Held.Bytes;
  Address.Used.Connections -= Held.Connections;
  Held = {};
  EvictCallback();
}

} // namespace mimosa
