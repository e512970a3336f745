// Simulates hosts that claim keys of one service over a fake key-value service
// and a network that the test controls: it can delay, lose, duplicate and
// reorder messages. After each step, BrokenInvariant shows whether the
// invariants of claims hold.

#ifndef MIMOSA_CLAIM_CLAIM_SIMULATION_TEST_UTIL_H
#define MIMOSA_CLAIM_CLAIM_SIMULATION_TEST_UTIL_H

#include "base/random.h"
#include "claim/claim_client.h"
#include "claim/claim_owner.h"
#include "platform/fake_key_value_store_test_util.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace mimosa {

class ClaimSimulation {
public:
  /// A claim attempt: index of the host, incarnation, ticket.
  using Attempt = std::tuple<size_t, uint64_t, uint64_t>;

  explicit ClaimSimulation(size_t HostCount,
                           const ClaimOwnerOptions &Options = {})
      : Options(Options) {
    Store.holdReplies(true);
    for (size_t I = 0; I < HostCount; ++I) {
      Hosts.push_back(std::make_unique<Host>());
      Hosts[I]->Id = HostId("h" + std::to_string(I));
      restart(I);
    }
  }

  FakeKeyValueStore Store;
  MonotonicTime Now{Seconds(1)};
  /// Index of the claim owner in the view of each host.
  std::vector<size_t> View = std::vector<size_t>(8, 0);
  /// The first broken invariant; empty while all hold.
  std::string BrokenInvariant;
  /// Whether a refusal of a key with a grant is a broken invariant. Must be
  /// false if several hosts act as the owner, because a host that cannot reach
  /// the store, or has not yet read the other's grant from it, can refuse a
  /// granted key.
  bool CheckRefusals = true;
  std::map<Attempt, ClaimDecision> Decisions;
  /// Granted claims whose requests are running.
  std::set<Attempt> Running;
  size_t Grants = 0;

  size_t messages() const { return Network.size(); }
  ClaimOwner &owner(size_t I) { return *Hosts[I]->Owner; }
  ClaimClient &client(size_t I) { return *Hosts[I]->Client; }
  HostId id(size_t I) const { return Hosts[I]->Id; }

  /// Ends the process of host \p I and starts another one.
  void restart(size_t I) {
    Host &Restarted = *Hosts[I];
    Restarted.HostIncarnation = Restarted.HostIncarnation.next();
    for (auto Each = Running.begin(); Each != Running.end();)
      Each = std::get<0>(*Each) == I ? Running.erase(Each) : std::next(Each);
    Restarted.StoreLimiter =
        std::make_unique<StoreRateLimiter>(StoreRateLimits{100, 50, 8, 4});
    Restarted.Owner = std::make_unique<ClaimOwner>(
        Service, Restarted.Id, Restarted.HostIncarnation,
        *Restarted.StoreLimiter, Options);
    Restarted.Owner->setWallClock(
        WallStartMs + inMilliseconds(Now - MonotonicTime()), Now);
    Restarted.Client = std::make_unique<ClaimClient>(
        Restarted.Id, Restarted.HostIncarnation, ClaimClientOptions());
    Restarted.Owning = false;
  }

  void setStoreRateLimits(size_t I, const StoreRateLimits &Limits) {
    Hosts[I]->StoreLimiter->setLimits(Limits, Now);
  }
  void startOwner(size_t I) {
    Hosts[I]->Owning = true;
    perform(I, Hosts[I]->Owner->start(Now));
  }
  void stopOwner(size_t I) {
    Hosts[I]->Owning = false;
    perform(I, Hosts[I]->Owner->stop());
  }
  bool owning(size_t I) const { return Hosts[I]->Owning; }

  /// Starts a claim attempt by host \p I.
  Attempt request(size_t I, const std::string &Key, Duration Deadline) {
    RequestId Ticket = Hosts[I]->Client->begin(
        Service, RequestKey(Key), id(View[I]), Now + Deadline, Now);
    Attempt A{I, Hosts[I]->HostIncarnation.number(), Ticket.number()};
    Keys[A] = Key;
    perform(I, Hosts[I]->Client->takeActions());
    return A;
  }

  /// Changes the claim owner in the view of host \p I.
  void setView(size_t I, size_t NewOwner) {
    View[I] = NewOwner;
    perform(I, Hosts[I]->Client->onOwnerChange(Service, id(NewOwner), Now));
  }

  /// Ends a running request: records an outcome if it ran, or else releases the
  /// claim.
  void finish(Attempt A, bool Ran) {
    Running.erase(A);
    ClaimClient &Client = *Hosts[std::get<0>(A)]->Client;
    RequestId Ticket(std::get<2>(A));
    if (Ran) {
      Client.recordOutcome(Ticket, ResultCode::Ok, "answer");
    } else {
      Used[Keys[A]].erase(A);
      Ended.insert(A);
      Client.release(Ticket);
    }
    perform(std::get<0>(A), Client.takeActions());
  }

  /// Delivers a message; with \p Duplicate it stays in the network.
  void deliver(size_t Index, bool Duplicate = false) {
    Message Sent = Network[Index];
    if (!Duplicate)
      drop(Index);
    Host &To = *Hosts[Sent.To];
    if (auto *Request = std::get_if<ClaimRequest>(&Sent.Body))
      perform(Sent.To, To.Owner->onRequest(roundTrip(*Request), Now));
    else if (auto *Reply = std::get_if<ClaimReply>(&Sent.Body))
      perform(Sent.To,
              To.Client->onReply(id(Sent.From), roundTrip(*Reply), Now));
    else if (auto *Settlement = std::get_if<ClaimSettlement>(&Sent.Body))
      perform(Sent.To, To.Owner->onSettlement(roundTrip(*Settlement), Now));
  }
  void drop(size_t Index) {
    Network.erase(Network.begin() + static_cast<ptrdiff_t>(Index));
  }

  void advance(Duration Step) {
    Now += Step;
    for (size_t I = 0; I < Hosts.size(); ++I) {
      perform(I, Hosts[I]->Owner->onTick(Now));
      perform(I, Hosts[I]->Client->onTick(Now));
    }
  }

  /// Delivers everything in order for \p Time, without faults.
  void run(Duration Time) {
    for (MonotonicTime End = Now + Time; Now < End;) {
      while (!Network.empty() || Store.heldReplies() > 0) {
        if (!Network.empty())
          deliver(0);
        if (Store.heldReplies() > 0)
          Store.deliverNext();
      }
      advance(Milliseconds(10));
    }
  }

  /// The decision on \p A; a default one if there is none.
  ClaimDecision decision(const Attempt &A) const {
    auto Found = Decisions.find(A);
    return Found == Decisions.end() ? ClaimDecision() : Found->second;
  }

private:
  struct Host {
    HostId Id;
    Incarnation HostIncarnation;
    std::unique_ptr<StoreRateLimiter> StoreLimiter;
    std::unique_ptr<ClaimOwner> Owner;
    std::unique_ptr<ClaimClient> Client;
    bool Owning = false;
  };

  struct Message {
    size_t From;
    size_t To;
    std::variant<ClaimRequest, ClaimReply, ClaimSettlement> Body;
  };

  /// Encodes and decodes a message, as its transport does.
  template <typename T> static T roundTrip(const T &Body) {
    return valueOf(unpackBody<T>(packBody(Body)));
  }

  size_t index(const HostId &Id) const {
    return static_cast<size_t>(std::stoi(Id.text().substr(1)));
  }

  void recordViolation(const std::string &What) {
    if (BrokenInvariant.empty())
      BrokenInvariant = What;
  }

  Attempt attempt(const ClaimNonce &Nonce) const {
    return {index(Nonce.Root), Nonce.RootIncarnation.number(),
            Nonce.Counter.number()};
  }

  template <typename Actions> void perform(size_t I, Actions ToPerform) {
    for (auto &Action : ToPerform)
      std::visit([&](auto &A) { act(I, A); }, Action);
  }

  /// A callback that passes a reply of the store to the owner on host \p I,
  /// unless the host has restarted since the call.
  template <typename T, typename Member>
  auto toOwner(size_t I, uint64_t Epoch, Member OnReply) {
    return
        [this, I, Epoch, OnReply,
         HostIncarnation = Hosts[I]->HostIncarnation](const Result<T> &Reply) {
          if (Hosts[I]->HostIncarnation == HostIncarnation)
            perform(I, (Hosts[I]->Owner.get()->*OnReply)(Epoch, Reply, Now));
        };
  }

  void act(size_t I, ListClaimRecords &A) {
    Store.list(
        A.Prefix, A.After,
        toOwner<std::vector<StoredEntry>>(I, A.Epoch, &ClaimOwner::onListed));
  }
  void act(size_t I, CreateClaimRecord &A) {
    Store.compareAndSwap(
        A.Key, A.Value, StoreVersion(0),
        toOwner<SwapReply>(I, A.Epoch, &ClaimOwner::onCreated));
  }
  void act(size_t I, RemoveClaimRecord &A) {
    Store.remove(A.Key, toOwner<Done>(I, A.Epoch, &ClaimOwner::onRemoved));
  }
  void act(size_t I, SendClaimReply &A) {
    Attempt To = attempt(A.Reply.Nonce);
    const std::string &Key = Keys[To];
    if (A.Reply.Verdict == ClaimVerdict::Granted && Ended.count(To) == 0)
      Granted[Key].insert(To);
    if (A.Reply.Verdict == ClaimVerdict::Refused && CheckRefusals)
      for (const Attempt &Other : Granted[Key])
        if (Ended.count(Other) == 0)
          recordViolation("a key with a grant was refused: " + Key);
    Network.push_back({I, index(A.To), A.Reply});
  }
  void act(size_t I, SendClaimRequest &A) {
    Network.push_back({I, index(A.To), A.Request});
  }
  void act(size_t I, SendClaimSettlement &A) {
    Network.push_back({I, index(A.To), A.Settlement});
  }
  void act(size_t I, ClaimDecision &A) {
    Attempt By{I, Hosts[I]->HostIncarnation.number(), A.Ticket.number()};
    if (!Decisions.emplace(By, A).second)
      recordViolation("a second decision for one attempt");
    if (A.Kind != ClaimDecisionKind::Granted) {
      Ended.insert(By);
      return;
    }
    ++Grants;
    Running.insert(By);
    auto &Users = Used[Keys[By]];
    Users.insert(By);
    if (Users.size() > 1)
      recordViolation("two grants of " + Keys[By]);
  }

  static constexpr int64_t WallStartMs = 1764800000000;
  const ServiceId Service{"storm"};
  ClaimOwnerOptions Options;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Message> Network;
  std::map<Attempt, std::string> Keys;
  /// By key: claim attempts whose grant was used and not released.
  std::map<std::string, std::set<Attempt>> Used;
  /// By key: claim attempts to which an owner sent a grant.
  std::map<std::string, std::set<Attempt>> Granted;
  /// Claim attempts that got a decision other than Granted or were released.
  std::set<Attempt> Ended;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_SIMULATION_TEST_UTIL_H
