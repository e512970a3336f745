#include "daemon/query_service.h"

#include "daemon/request_context.h"
#include "runtime/log.h"

namespace mimosa {

namespace {
constexpr Duration AdmissionCheckInterval = Milliseconds(5);
constexpr Duration AbandonmentExpiryInterval = Seconds(1);
} // namespace

QueryService::QueryService(NodeContext &Context, KeyValueStore &Store)
    : Context(Context), Runner(Context), Claims(Context, Store),
      CrashQuarantine(Context.Self.Host, Context.Self.HostIncarnation),
      Strikes(Context) {
  AdmissionTicks = Context.Loop.every(AdmissionCheckInterval, [this] {
    auto Next = Admission.nextExpiry();
    if (Next && *Next <= this->Context.Loop.now())
      pollAdmission();
  });
  AbandonmentTicks = Context.Loop.every(AbandonmentExpiryInterval, [this] {
    Abandonments.expire(this->Context.Loop.now());
  });
}

QueryService::~QueryService() = default;

void QueryService::configure(const Config &Document) {
  std::vector<AdmissionService> Services;
  for (const Service &One : Document.Services)
    Services.push_back({One.Name, One.QueueLimit, One.Weight});
  Admission.setServices(Services);
}

QueryAnswer QueryService::run(const QueryRequest &Request, ServiceNode &Service,
                              const std::shared_ptr<CallerConnection> &Caller) {
  LastId = LastId.next();
  RequestContext Query(*this, LastId, Request, Service);
  InProgress[Query.id()] = &Query;
  RequestId Id = Query.id();
  Caller->onDisconnect([this, Id](DisconnectReason Reason) {
    MonotonicTime Now = Context.Loop.now();
    if (Reason == DisconnectReason::Unreachable)
      Abandonments.unreachable(Id, Now);
    else
      Abandonments.connectionClosed(Id, Now);
    auto Found = InProgress.find(Id);
    if (Found != InProgress.end())
      Found->second->abandon();
  });
  QueryAnswer Answer = Query.run();
  InProgress.erase(Id);
  pollAdmission();
  recordMetrics(Request, Answer);
  return Answer;
}

void QueryService::recordMetrics(const QueryRequest &Request,
                                 const QueryAnswer &Answer) {
  Labels L = {{"service", Request.Service.text()},
              {"class", queryClassName(Request.Class)}};
  Context.Metrics.histogram("mimosa_query_seconds", L).record(Answer.Elapsed);
  if (Answer.Outcome != Execution::NotRun) {
    const char *Coverage = Answer.Complete ? "whole" : "partial";
    Labels WithCoverage = L;
    WithCoverage["coverage"] = Coverage;
    Context.Metrics.counter("mimosa_answers_total", WithCoverage).add();
  }
  L["code"] = resultCodeName(Answer.Code);
  Context.Metrics.counter("mimosa_queries_total", L).add();
}

void QueryService::pollAdmission() {
  AdmissionActions Next = Admission.poll(Context.Loop.now());
  for (RequestId Id : Next.Start)
    if (auto It = InProgress.find(Id); It != InProgress.end())
      It->second->onAdmissionDecision(true);
  for (RequestId Id : Next.Expired)
    if (auto It = InProgress.find(Id); It != InProgress.end())
      It->second->onAdmissionDecision(false);
}

void QueryService::releaseWaiting(
    const std::vector<QuarantineRelease> &Released) {
  for (const QuarantineRelease &One : Released)
    if (auto It = InProgress.find(One.Id); It != InProgress.end())
      It->second->onQuarantineDecision(One.Decision);
}

size_t QueryService::cancel(const CallerId &Caller, const RequestKey &Key) {
  size_t Ended = 0;
  for (auto &[Id, Query] : InProgress) {
    if (Key.empty() || Query->request().Caller != Caller ||
        Query->request().Key != Key)
      continue;
    ++Ended;
    Abandonments.cancelled(Id, Context.Loop.now());
    Query->abandon();
  }
  return Ended;
}

bool QueryService::handleFrame(const PeerFrame &Frame,
                               const PeerReplier &Reply) {
  if (Frame.Type != MessageType::StrikeNotice)
    return Claims.handleFrame(Frame);
  auto Notice = unpackBody<StrikeNotice>(Frame.Body);
  if (!ok(Notice))
    return true;
  releaseWaiting(
      CrashQuarantine.strikeReceived(valueOf(Notice), Context.Loop.now()));
  Reply(MessageType::StrikeAck,
        packBody(StrikeAck{Context.Self.Host, valueOf(Notice).Id}));
  return true;
}

} // namespace mimosa
