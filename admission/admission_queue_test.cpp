#include "admission/admission_queue.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const MonotonicTime Start{Seconds(1000)};
const ServiceId A("a");
const ServiceId B("b");
constexpr RequestClass Interactive = RequestClass::Interactive;
constexpr RequestClass Batch = RequestClass::Batch;

ConcurrencyLimitOptions fixedLimit(uint32_t Limit) {
  ConcurrencyLimitOptions Options;
  Options.Initial = Options.Min = Options.Max = Limit;
  return Options;
}

/// Offers queries with a deadline in an hour unless told otherwise.
struct Queue : AdmissionQueue {
  explicit Queue(uint32_t Limit) : AdmissionQueue(fixedLimit(Limit)) {
    setServices({{A, 200, 1}, {B, 200, 3}});
  }
  ResultCode add(const ServiceId &Service, RequestClass Class,
                 Duration Deadline = Seconds(3600)) {
    auto R =
        offer({RequestId(++Last), Service, Class, Start + Deadline}, Start);
    return ok(R) ? ResultCode::Ok : errorOf(R).Code;
  }
  uint64_t Last = 0;
};

// Guards against a service that gets more than its weight's share, or that
// waits while another is served again and again.
RC_GTEST_PROP(FairQueue, BackloggedServicesShareByWeight, ()) {
  FairQueue Queue;
  auto Weights = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 8))));
  int WeightSum = 0;
  for (size_t I = 0; I < Weights.size(); ++I) {
    ServiceId Service("s" + std::to_string(I));
    Queue.setWeight(Service, static_cast<uint32_t>(Weights[I]));
    WeightSum += Weights[I];
    for (int Query = 0; Query < 100; ++Query)
      Queue.push(Service, RequestId(I));
  }
  std::vector<int> Served(Weights.size());
  for (int Pops = 1; Pops <= WeightSum * 10; ++Pops) {
    ++Served[Queue.pop()->number()];
    for (size_t I = 0; I < Weights.size(); ++I) {
      double Fair = double(Pops) * Weights[I] / WeightSum;
      RC_ASSERT(std::abs(Served[I] - Fair) <= Weights[I]);
    }
  }
}

// Guards against batch queries that delay interactive ones, and against
// interactive load that stops batch for good.
TEST(AdmissionQueue, BatchHasOneStartInTwentyWhileInteractiveWaits) {
  Queue All(1);
  for (int I = 0; I < 200; ++I)
    All.add(A, Interactive);
  for (int I = 0; I < 100; ++I)
    All.add(B, Batch);
  int BatchStarts = 0;
  for (int I = 0; I < 200; ++I) {
    RequestId Id = All.poll(Start).Start.at(0);
    BatchStarts += Id.number() > 200;
    All.finished(Id, QueryEnd::Aborted, Start);
  }
  EXPECT_EQ(BatchStarts, 10);
  EXPECT_EQ(All.waiting(Batch), 90u);
}

// Guards against queues without bound, and against batch queries that take the
// places of interactive ones.
TEST(AdmissionQueue, QueueLimitIsPerServiceAndFavoursInteractive) {
  Queue All(1);
  All.setServices({{A, 2, 1}, {B, 2, 1}});
  struct LimitCase {
    ServiceId Service;
    RequestClass Class;
    ResultCode Code;
  };
  const LimitCase Cases[] = {
      {A, Batch, ResultCode::Ok},
      {A, Batch, ResultCode::Ok},
      {A, Batch, ResultCode::Overloaded},
      {A, Interactive, ResultCode::Ok},
      {A, Interactive, ResultCode::Ok},
      {A, Interactive, ResultCode::Overloaded},
      {B, Interactive, ResultCode::Ok},
      {B, Batch, ResultCode::Ok},
      {B, Batch, ResultCode::Overloaded},
      {ServiceId("x"), Batch, ResultCode::UnknownService},
  };
  for (const LimitCase &Case : Cases)
    EXPECT_EQ(All.add(Case.Service, Case.Class), Case.Code);
  EXPECT_EQ(All.counters().RefusedOverloaded, 3u);
}

// Guards against queries that wait although they cannot start in time, and
// against refusals of those that can.
TEST(AdmissionQueue, RefusesWhatCannotStartInTime) {
  // One query at a time, 100 ms each: 10 completions per second.
  struct WaitCase {
    const char *What;
    int WaitingA, WaitingB, WaitingBatch;
    ServiceId Service;
    RequestClass Class;
    int WaitMs;
  };
  const WaitCase Cases[] = {
      {"nothing ahead", 0, 0, 0, A, Interactive, 0},
      {"own service", 5, 0, 0, A, Interactive, 500},
      {"share of another service", 1, 20, 0, A, Interactive, 700},
      {"another service has little", 1, 2, 0, A, Interactive, 300},
      {"heavier service", 9, 0, 0, B, Interactive, 33},
      {"batch is not ahead", 1, 0, 10, A, Interactive, 105},
      // Two interactive queries arrived in the last second, so 8 of 10
      // completions per second are left.
      {"batch behind arriving interactive", 0, 0, 3, A, Batch, 375},
  };
  for (const WaitCase &Case : Cases) {
    Queue All(1);
    All.add(A, Interactive);
    All.poll(Start);
    All.finished(RequestId(1), QueryEnd::Answered, Start + Milliseconds(100));
    All.add(A, Interactive);
    All.poll(Start);
    for (int I = 0; I < Case.WaitingA; ++I)
      All.add(A, Interactive);
    for (int I = 0; I < Case.WaitingB; ++I)
      All.add(B, Interactive);
    for (int I = 0; I < Case.WaitingBatch; ++I)
      All.add(A, Batch);
    Duration Wait = All.predictedWait(Case.Service, Case.Class, Start);
    EXPECT_EQ(inMilliseconds(Wait), Case.WaitMs) << Case.What;
    // Without a wait only a deadline that has passed is refused.
    Duration Needed =
        Wait > Duration::zero() ? Wait + All.predictedRun() : Wait;
    EXPECT_EQ(All.add(Case.Service, Case.Class, Needed - Milliseconds(1)),
              ResultCode::DeadlineTooShort);
    EXPECT_EQ(All.add(Case.Service, Case.Class, Needed + Milliseconds(1)),
              ResultCode::Ok);
  }
}

// Guards against batch being promised a start while interactive queries keep
// arriving as fast as all complete.
TEST(AdmissionQueue, PredictedWaitOfBatchCountsInteractiveArrivals) {
  // 10 completions per second; the first query arrived in the same second.
  struct ArrivalCase {
    const char *What;
    int Interactive, Batch, WaitMs;
  };
  const ArrivalCase Cases[] = {
      {"4 completions per second are left", 5, 10, 3750},
      {"only the share of batch is left", 50, 2, 4000},
  };
  for (const ArrivalCase &Case : Cases) {
    Queue All(1);
    All.add(A, Interactive);
    All.poll(Start);
    All.finished(RequestId(1), QueryEnd::Answered, Start + Milliseconds(100));
    for (int I = 0; I < Case.Interactive; ++I)
      All.add(A, Interactive);
    for (int I = 0; I < Case.Batch; ++I)
      All.add(A, Batch);
    Duration Wait = All.predictedWait(A, Batch, Start);
    EXPECT_EQ(inMilliseconds(Wait), Case.WaitMs) << Case.What;
  }
}

// Guards against queries that get lost, run twice, run after their deadline or
// after they were cancelled, and against more running ones than the limit.
RC_GTEST_PROP(AdmissionQueue, EachQueryEndsExactlyOnce, ()) {
  Queue All(3);
  MonotonicTime Now = Start;
  std::map<uint64_t, MonotonicTime> Waiting;
  std::vector<RequestId> Running;
  auto Steps = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 60)));
  uint64_t Last = 0;
  for (int Step : Steps) {
    Now += Milliseconds(Step % 7);
    RequestId Id(Last);
    if (Step % 4 == 0) {
      bool Waits = Waiting.erase(Last);
      RC_ASSERT(All.cancel(Id) == Waits);
    } else if (Step % 4 == 1 && !Running.empty()) {
      All.finished(Running.front(), QueryEnd::Answered, Now);
      Running.erase(Running.begin());
    } else {
      MonotonicTime Deadline = Now + Milliseconds(Step);
      auto Class = Step % 3 ? Interactive : Batch;
      if (ok(All.offer({RequestId(++Last), Step % 5 ? A : B, Class, Deadline},
                       Now)))
        Waiting[Last] = Deadline;
    }
    AdmissionActions Actions = All.poll(Now);
    for (RequestId Expired : Actions.Expired) {
      RC_ASSERT(Waiting.at(Expired.number()) <= Now + All.predictedRun());
      Waiting.erase(Expired.number());
    }
    for (RequestId Started : Actions.Start) {
      RC_ASSERT(Waiting.at(Started.number()) > Now);
      Waiting.erase(Started.number());
      Running.push_back(Started);
    }
    RC_ASSERT(Running.size() <= 3u);
    RC_ASSERT(Running.size() == All.running());
    RC_ASSERT(Waiting.size() == All.waiting(Interactive) + All.waiting(Batch));
    RC_ASSERT(Waiting.empty() || Running.size() == 3u);
    std::optional<MonotonicTime> First;
    for (const auto &[Number, Deadline] : Waiting)
      First = std::min(First.value_or(Deadline), Deadline);
    RC_ASSERT(All.nextExpiry() == First);
    RC_ASSERT(!First || *First > Now);
  }
}

} // namespace
} // namespace mimosa
