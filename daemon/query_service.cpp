#include "daemon/query_service.h"

#include "daemon/query_passage.h"
#include "runtime/log.h"

namespace mimosa {

namespace {
constexpr Duration ExpiryInterval = Milliseconds(5);
constexpr Duration HousekeepingInterval = Seconds(1);
} // namespace

QueryService::QueryService(NodeContext &Context, KeyValueStore &Store)
    : Context(Context), Runner(Context), Claims(Context, Store),
      Guard(Context.Self.Host, Context.Self.Life), Strikes(Context) {
  Expiry = Context.Loop.every(ExpiryInterval, [this] {
    auto Next = Admission.nextExpiry();
    if (Next && *Next <= this->Context.Loop.now())
      poll();
  });
  Housekeeping = Context.Loop.every(HousekeepingInterval, [this] {
    Abandoned.expire(this->Context.Loop.now());
  });
}

QueryService::~QueryService() = default;

void QueryService::configure(const Config &Document) {
  std::vector<AdmissionService> Listed;
  for (const Service &One : Document.Services)
    Listed.push_back({One.Name, One.QueueLimit, One.Weight});
  Admission.setServices(Listed);
}

QueryAnswer QueryService::run(const QueryRequest &Request, ServiceNode &Node,
                              const std::shared_ptr<CallerConnection> &Caller) {
  LastId = LastId.next();
  Passage Query(*this, LastId, Request, Node);
  InProgress[Query.id()] = &Query;
  RequestId Id = Query.id();
  Caller->onDisconnect([this, Id](DisconnectReason Reason) {
    MonotonicTime Now = Context.Loop.now();
    if (Reason == DisconnectReason::Unreachable)
      Abandoned.unreachable(Id, Now);
    else
      Abandoned.connectionClosed(Id, Now);
    auto Found = InProgress.find(Id);
    if (Found != InProgress.end())
      Found->second->callerGone();
  });
  QueryAnswer Answer = Query.run();
  InProgress.erase(Id);
  poll();
  count(Request, Answer);
  return Answer;
}

void QueryService::count(const QueryRequest &Request,
                         const QueryAnswer &Answer) {
  Labels L = {{"service", Request.Service.text()},
              {"class", queryClassName(Request.Class)}};
  Context.Metrics.histogram("mimosa_query_seconds", L).record(Answer.Elapsed);
  if (Answer.Outcome != Execution::NotRun) {
    const char *Kind = Answer.Complete ? "whole" : "partial";
    Labels Whole = L;
    Whole["coverage"] = Kind;
    Context.Metrics.counter("mimosa_answers_total", Whole).add();
  }
  L["code"] = resultCodeName(Answer.Code);
  Context.Metrics.counter("mimosa_queries_total", L).add();
}

void QueryService::poll() {
  AdmissionActions Next = Admission.poll(Context.Loop.now());
  for (RequestId Id : Next.Start)
    if (auto It = InProgress.find(Id); It != InProgress.end())
      It->second->admitted(true);
  for (RequestId Id : Next.Expired)
    if (auto It = InProgress.find(Id); It != InProgress.end())
      It->second->admitted(false);
}

void QueryService::release(const std::vector<QuarantineRelease> &Released) {
  for (const QuarantineRelease &One : Released)
    if (auto It = InProgress.find(One.Id); It != InProgress.end())
      It->second->decided(One.Decision);
}

size_t QueryService::cancel(const CallerId &Caller, const RequestKey &Key) {
  size_t Ended = 0;
  for (auto &[Id, Query] : InProgress) {
    if (Key.empty() || Query->request().Caller != Caller ||
        Query->request().Key != Key)
      continue;
    ++Ended;
    Abandoned.cancelled(Id, Context.Loop.now());
    Query->callerGone();
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
  release(Guard.strikeReceived(valueOf(Notice), Context.Loop.now()));
  Reply(MessageType::StrikeAck,
        packBody(StrikeAck{Context.Self.Host, valueOf(Notice).Id}));
  return true;
}

} // namespace mimosa
