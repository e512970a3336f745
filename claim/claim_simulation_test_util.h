// Hosts that claim keys of one service through a network that delays, loses,
// repeats and reorders messages, over one fake key-value service. The checks of
// the claim invariants are part of the world and hold after every step.

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
  /// One attempt: host, incarnation, ticket.
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
  /// The owner that each host believes in.
  std::vector<size_t> View = std::vector<size_t>(8, 0);
  /// The first broken invariant; empty while all hold.
  std::string BrokenInvariant;
  /// Refusals are checked against all grants; off where two owners are cut
  /// off from the store, as neither can know of the other's grants.
  bool CheckRefusals = true;
  std::map<Attempt, ClaimDecision> Decisions;
  /// Granted claims whose request runs.
  std::set<Attempt> Running;
  size_t Grants = 0;

  size_t messages() const { return Net.size(); }
  ClaimOwner &owner(size_t I) { return *Hosts[I]->Owner; }
  ClaimClient &client(size_t I) { return *Hosts[I]->Client; }
  HostId id(size_t I) const { return Hosts[I]->Id; }

  /// Ends the process of host \p I and starts another one.
  void restart(size_t I) {
    Host &H = *Hosts[I];
    H.Life = H.Life.next();
    for (auto Each = Running.begin(); Each != Running.end();)
      Each = std::get<0>(*Each) == I ? Running.erase(Each) : std::next(Each);
    H.Budget =
        std::make_unique<StoreRateLimiter>(StoreRateLimits{100, 50, 8, 4});
    H.Owner =
        std::make_unique<ClaimOwner>(Service, H.Id, H.Life, *H.Budget, Options);
    H.Owner->setWallClock(WallStartMs + inMilliseconds(Now - MonotonicTime()),
                          Now);
    H.Client =
        std::make_unique<ClaimClient>(H.Id, H.Life, ClaimClientOptions());
    H.Owning = false;
  }

  void setBudget(size_t I, const StoreRateLimits &Limits) {
    Hosts[I]->Budget->setLimits(Limits, Now);
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

  Attempt request(size_t I, const std::string &Key, Duration Deadline) {
    RequestId Ticket = Hosts[I]->Client->begin(
        Service, RequestKey(Key), id(View[I]), Now + Deadline, Now);
    Attempt A{I, Hosts[I]->Life.number(), Ticket.number()};
    Keys[A] = Key;
    perform(I, Hosts[I]->Client->takeActions());
    return A;
  }

  void setView(size_t I, size_t NewOwner) {
    View[I] = NewOwner;
    perform(I, Hosts[I]->Client->onOwnerChange(Service, id(NewOwner), Now));
  }

  /// Ends a running request.
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

  void deliver(size_t Index, bool Keep = false) {
    Message M = Net[Index];
    if (!Keep)
      drop(Index);
    Host &To = *Hosts[M.To];
    if (auto *Request = std::get_if<ClaimRequest>(&M.Body))
      perform(M.To, To.Owner->onRequest(recoded(*Request), Now));
    else if (auto *Reply = std::get_if<ClaimReply>(&M.Body))
      perform(M.To, To.Client->onReply(id(M.From), recoded(*Reply), Now));
    else if (auto *Settlement = std::get_if<ClaimSettlement>(&M.Body))
      perform(M.To, To.Owner->onSettlement(recoded(*Settlement), Now));
  }
  void drop(size_t Index) {
    Net.erase(Net.begin() + static_cast<ptrdiff_t>(Index));
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
      while (!Net.empty() || Store.heldReplies() > 0) {
        if (!Net.empty())
          deliver(0);
        if (Store.heldReplies() > 0)
          Store.deliverNext();
      }
      advance(Milliseconds(10));
    }
  }

  /// The decision of \p A; a default one if there is none.
  ClaimDecision decision(const Attempt &A) const {
    auto Found = Decisions.find(A);
    return Found == Decisions.end() ? ClaimDecision() : Found->second;
  }

private:
  struct Host {
    HostId Id;
    Incarnation Life;
    std::unique_ptr<StoreRateLimiter> Budget;
    std::unique_ptr<ClaimOwner> Owner;
    std::unique_ptr<ClaimClient> Client;
    bool Owning = false;
  };

  struct Message {
    size_t From;
    size_t To;
    std::variant<ClaimRequest, ClaimReply, ClaimSettlement> Body;
  };

  template <typename T> static T recoded(const T &Body) {
    return valueOf(unpackBody<T>(packBody(Body)));
  }

  size_t index(const HostId &Id) const {
    return static_cast<size_t>(std::stoi(Id.text().substr(1)));
  }

  void breaks(const std::string &What) {
    if (BrokenInvariant.empty())
      BrokenInvariant = What;
  }

  Attempt attempt(const ClaimNonce &Nonce) const {
    return {index(Nonce.Root), Nonce.RootIncarnation.number(),
            Nonce.Counter.number()};
  }

  template <typename Actions> void perform(size_t I, Actions Done) {
    for (auto &Action : Done)
      std::visit([&](auto &A) { act(I, A); }, Action);
  }

  template <typename T, typename Member>
  auto toOwner(size_t I, uint64_t Epoch, Member OnReply) {
    return [this, I, Epoch, OnReply,
            Life = Hosts[I]->Life](const Result<T> &Reply) {
      if (Hosts[I]->Life == Life)
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
          breaks("a key with a grant was refused: " + Key);
    Net.push_back({I, index(A.To), A.Reply});
  }
  void act(size_t I, SendClaimRequest &A) {
    Net.push_back({I, index(A.To), A.Request});
  }
  void act(size_t I, SendClaimSettlement &A) {
    Net.push_back({I, index(A.To), A.Settlement});
  }
  void act(size_t I, ClaimDecision &A) {
    Attempt By{I, Hosts[I]->Life.number(), A.Ticket.number()};
    if (!Decisions.emplace(By, A).second)
      breaks("a second decision for one attempt");
    if (A.Kind != ClaimDecisionKind::Granted) {
      Ended.insert(By);
      return;
    }
    ++Grants;
    Running.insert(By);
    auto &Users = Used[Keys[By]];
    Users.insert(By);
    if (Users.size() > 1)
      breaks("two grants of " + Keys[By]);
  }

  static constexpr int64_t WallStartMs = 1764800000000;
  const ServiceId Service{"storm"};
  ClaimOwnerOptions Options;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Message> Net;
  std::map<Attempt, std::string> Keys;
  /// By key: attempts that used a grant and did not release it.
  std::map<std::string, std::set<Attempt>> Used;
  /// By key: attempts to which an owner sent a grant.
  std::map<std::string, std::set<Attempt>> Granted;
  /// Attempts whose root gave up, got another decision, or released.
  std::set<Attempt> Ended;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_SIMULATION_TEST_UTIL_H
