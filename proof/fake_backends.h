// Backend servers that answer the schedulers of several hosts, with the faults
// of docs/design.md, section 1.5. They keep their own account of what runs
// where, and write it into the record.
//
// A search answers with the data of the snapshot that the backend server holds.
// After a repartition, some refuse a request for the old snapshot and some
// answer it from the new one, as a backend server that does not check would.

#ifndef MIMOSA_PROOF_FAKE_BACKENDS_H
#define MIMOSA_PROOF_FAKE_BACKENDS_H

#include "backend/backend_directory.h"
#include "base/message_codec.h"
#include "base/random.h"
#include "dispatch/dispatcher.h"
#include "proof/record.h"

#include <map>
#include <tuple>

namespace mimosa {

/// The body of a fake reply.
struct FakeAnswer {
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
  std::string Request;
  MSGPACK_DEFINE_MAP(Snapshot, Shards, Request);
};

class FakeBackends {
public:
  static constexpr size_t Count = 6;
  static constexpr uint32_t Slots = 2;
  using HostCall = std::function<void(Dispatcher &, DispatchActions &)>;
  /// Runs a call on the dispatcher of a host, unless it is paused or gone.
  using OnHost = std::function<void(size_t Host, HostCall Call)>;

  FakeBackends(Break Broken, Record &Seen, Timeline &Time, OnHost Deliver);

  /// "b0" to "b5".
  static BackendServerId name(size_t B);
  static size_t index(const BackendServerId &Backend);
  static AvailabilityZoneId zone(size_t B);
  static Partition partition(size_t B) { return Partition(B / 3); }

  // Faults.
  void straggle(size_t B, Duration Time);
  /// The process ends, and another one starts after \p Down.
  void kill(size_t B, Duration Down);
  void turnCold(size_t B);
  void silence(size_t B);
  void drain(size_t B);
  void repartition();
  /// The next run of \p Request ends with a reset connection and no reply.
  void loseReplyOf(const std::string &Request) { LoseReply = Request; }

  /// Carries out an action of host \p Host about backend server \p B.
  void act(size_t Host, size_t B, const OpenConnection &A);
  void act(size_t Host, size_t B, const CloseConnection &A);
  void act(size_t Host, size_t B, const SendSearch &A);
  void act(size_t Host, size_t B, const SendCancel &A);
  void act(size_t Host, size_t B, const PollStatus &A);
  /// Sends past the scheduler (Break::LimitIgnored).
  void sendPastGate(size_t Host, size_t B, const SubRequest &Work,
                    const std::function<void(SubRequestResult)> &OnReply);

  /// Called after each answered search with its request.
  std::function<void(const std::string &)> OnAnswered;
  /// Called after a reply was lost because of loseReplyOf().
  std::function<void()> OnReplyLost;

private:
  /// Host, scheduler, and number of a connection or a send.
  using LinkKey = std::tuple<size_t, uint32_t, uint64_t>;
  struct Link {
    uint64_t Process = 0;
    bool Silent = false;
  };
  struct Server {
    bool Up = true;
    uint64_t Process = 1;
    ReportedState State = ReportedState::Serving;
    uint32_t Bears = Slots;
    std::string Snapshot = "v1";
    MonotonicTime SlowUntil;
    std::map<LinkKey, Link> Links;
    /// Searches under way or running; empty until they have arrived.
    std::map<LinkKey, std::optional<SendSearch>> InFlight;
    /// What the owners were told that it bears.
    uint32_t Told = 0;
  };

  static LinkKey idOf(size_t Host, SchedulerId Scheduler, DispatchId Id) {
    return {Host, Scheduler.number(), Id.number()};
  }
  static LinkKey keyOf(size_t Host, SchedulerId Scheduler,
                       ConnectionId Connection) {
    return {Host, Scheduler.number(), Connection.number()};
  }
  bool alive(size_t B, const LinkKey &Key) const;
  std::vector<ShardId> shards(size_t B) const;
  StatusReport status(size_t B) const;
  void tell(size_t B);
  void noteSend(const LinkKey &Id, size_t B, const SubRequest &Work);
  void arrive(size_t Host, size_t B, const SendSearch &A);
  void finish(size_t Host, size_t B, const SendSearch &A);
  void reply(size_t Host, size_t B, const SendSearch &A, SearchReply Answer);
  void lose(size_t B, const LinkKey &Key);
  void warm(size_t B, uint64_t Process);
  std::string answerBody(size_t B, const SubRequest &Work) const;

  Break Broken;
  Record &Seen;
  Timeline &Time;
  OnHost Deliver;
  std::vector<Server> Servers;
  SeededRandom Rand{20261204};
  std::string LoseReply;
  uint64_t PastGate = 1000000;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_FAKE_BACKENDS_H
