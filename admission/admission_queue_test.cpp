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

/// Offers queries, by default with a deadline in one hour.
struct TestQueue : AdmissionQueue {
  explicit TestQueue(uint32_t Limit) : AdmissionQueue(fixedLimit(Limit)) {
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

// Guards against a service that gets more than the share of its weight, or that
// starves while others are served.
RC_GTEST_PROP(FairQueue, BackloggedServicesShareByWeight, ()) {
  FairQueue<ServiceId, RequestId> Queue;
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
// interactive load that starves batch.
TEST(AdmissionQueue, BatchHasOneStartInTwentyWhileInteractiveWaits) {
  TestQueue Admission(1);
  for (int I = 0; I < 200; ++I)
    Admission.add(A, Interactive);
  for (int I = 0; I < 100; ++I)
    Admission.add(B, Batch);
  int BatchStarts = 0;
  for (int I = 0; I < 200; ++I) {
    RequestId Id = Admission.poll(Start).Start.at(0);
    BatchStarts += Id.number() > 200;
    Admission.finished(Id, QueryEnd::Aborted, Start);
  }
  EXPECT_EQ(BatchStarts, 10);
  EXPECT_EQ(Admission.waiting(Batch), 90u);
}

// Guards against unbounded queues, and against batch queries that take the
// places of interactive ones.
TEST(AdmissionQueue, QueueLimitIsPerServiceAndFavoursInteractive) {
  TestQueue Admission(1);
  Admission.setServices({{A, 2, 1}, {B, 2, 1}});
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
    EXPECT_EQ(Admission.add(Case.Service, Case.Class), Case.Code);
  EXPECT_EQ(Admission.counters().RefusedOverloaded, 3u);
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
      {"another service has few queries", 1, 2, 0, A, Interactive, 300},
      {"heavier service", 9, 0, 0, B, Interactive, 33},
      {"batch is not ahead", 1, 0, 10, A, Interactive, 105},
      // Two interactive queries arrived in the last second, so 8 of 10
      // completions per second are left.
      {"batch behind arriving interactive", 0, 0, 3, A, Batch, 375},
  };
  for (const WaitCase &Case : Cases) {
    TestQueue Admission(1);
    Admission.add(A, Interactive);
    Admission.poll(Start);
    Admission.finished(RequestId(1), QueryEnd::Answered,
                       Start + Milliseconds(100));
    Admission.add(A, Interactive);
    Admission.poll(Start);
    for (int I = 0; I < Case.WaitingA; ++I)
      Admission.add(A, Interactive);
    for (int I = 0; I < Case.WaitingB; ++I)
      Admission.add(B, Interactive);
    for (int I = 0; I < Case.WaitingBatch; ++I)
      Admission.add(A, Batch);
    Duration Wait = Admission.predictedWait(Case.Service, Case.Class, Start);
    EXPECT_EQ(inMilliseconds(Wait), Case.WaitMs) << Case.What;
    // Without a wait a query is refused only if its deadline has passed.
    Duration Needed =
        Wait > Duration::zero() ? Wait + Admission.predictedRunTime() : Wait;
    EXPECT_EQ(Admission.add(Case.Service, Case.Class, Needed - Milliseconds(1)),
              ResultCode::DeadlineTooShort);
    EXPECT_EQ(Admission.add(Case.Service, Case.Class, Needed + Milliseconds(1)),
              ResultCode::Ok);
  }
}

// Guards against a predicted wait for batch that ignores interactive queries,
// which keep arriving at up to the rate of completions.
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
    TestQueue Admission(1);
    Admission.add(A, Interactive);
    Admission.poll(Start);
    Admission.finished(RequestId(1), QueryEnd::Answered,
                       Start + Milliseconds(100));
    for (int I = 0; I < Case.Interactive; ++I)
      Admission.add(A, Interactive);
    for (int I = 0; I < Case.Batch; ++I)
      Admission.add(A, Batch);
    Duration Wait = Admission.predictedWait(A, Batch, Start);
    EXPECT_EQ(inMilliseconds(Wait), Case.WaitMs) << Case.What;
  }
}

// Guards against queries that are lost, run twice, run after their deadline or
// after a cancel, and against more running queries than the limit.
RC_GTEST_PROP(AdmissionQueue, EachQueryEndsExactlyOnce, ()) {
  TestQueue Admission(3);
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
      RC_ASSERT(Admission.cancel(Id) == Waits);
    } else if (Step % 4 == 1 && !Running.empty()) {
      Admission.finished(Running.front(), QueryEnd::Answered, Now);
      Running.erase(Running.begin());
    } else {
      MonotonicTime Deadline = Now + Milliseconds(Step);
      auto Class = Step % 3 ? Interactive : Batch;
      if (ok(Admission.offer(
              {RequestId(++Last), Step % 5 ? A : B, Class, Deadline}, Now)))
        Waiting[Last] = Deadline;
    }
    AdmissionActions Actions = Admission.poll(Now);
    for (RequestId Expired : Actions.Expired) {
      RC_ASSERT(Waiting.at(Expired.number()) <=
                Now + Admission.predictedRunTime());
      Waiting.erase(Expired.number());
    }
    for (RequestId Started : Actions.Start) {
      RC_ASSERT(Waiting.at(Started.number()) > Now);
      Waiting.erase(Started.number());
      Running.push_back(Started);
    }
    RC_ASSERT(Running.size() <= 3u);
    RC_ASSERT(Running.size() == Admission.running());
    RC_ASSERT(Waiting.size() ==
              Admission.waiting(Interactive) + Admission.waiting(Batch));
    RC_ASSERT(Waiting.empty() || Running.size() == 3u);
    std::optional<MonotonicTime> First;
    for (const auto &[Number, Deadline] : Waiting)
      First = std::min(First.value_or(Deadline), Deadline);
    RC_ASSERT(Admission.nextExpiry() == First);
    RC_ASSERT(!First || *First > Now);
  }
}

} // namespace
} // namespace mimosa
