#include "daemon/node.h"

#include "runtime/log.h"

#include <random>

namespace mimosa {

namespace {
constexpr Duration WatchTime = Seconds(30);
constexpr Duration WatchRetryDelay = Milliseconds(500);

uint64_t seedOf(const DaemonOptions &Options) {
  return Options.RandomSeed ? Options.RandomSeed : std::random_device()();
}

Incarnation startTime() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(SinceEpoch).count()));
}
} // namespace

Node::Node(FiberLoop &Loop, const DaemonOptions &Options)
    : Options(Options), Rand(seedOf(Options)),
      Peers(Loop, Traffic), Context{Loop,
                                    Rand,
                                    Peers,
                                    Metrics,
                                    {Options.PeerAddress, Options.CallerAddress,
                                     Options.Zone, Options.Region,
                                     startTime()}},
      Store(Loop, Options.StoreAddress),
      Holder(Options.PeerAddress, Options.Zone), Queries(Context) {}

Node::~Node() = default;

void Node::start() { watchConfig(StoreVersion()); }

void Node::watchConfig(StoreVersion Known) {
  Store.watch(ConfigStoreKey, Known, WatchTime,
              [this, Known](Result<std::optional<StoredValue>> Reply) {
                StoreVersion Next = Known;
                if (!ok(Reply)) {
                  FiberLoop::sleepFor(WatchRetryDelay);
                } else if (valueOf(Reply)) {
                  Next = valueOf(Reply)->Version;
                  adoptConfig(valueOf(Reply)->Value, ConfigSource::Watch);
                }
                watchConfig(Next);
              });
}

void Node::adoptConfig(const std::string &Text, ConfigSource Source) {
  Result<Config> Parsed = parseConfig(Text);
  if (!ok(Parsed)) {
    logWarn("config", "a document was refused: " + errorOf(Parsed).Message);
    return;
  }
  if (Holder.offer(valueOf(std::move(Parsed)), Source))
    applyConfig();
}

void Node::applyConfig() {
  const Config &Document = *Holder.config();
  logInfo("config", "revision " + std::to_string(Holder.revision().number()) +
                        " is in force");
  for (const Service &One : Document.Services) {
    auto &Slot = Services[One.Name];
    if (!Slot)
      Slot = std::make_unique<ServiceNode>(
          Context, One.Name,
          [this](Reply Message) { Queries.onLocalReply(std::move(Message)); });
    Slot->configure(Document);
  }
}

QueryAnswer Node::query(const QueryRequest &Request,
                        const std::shared_ptr<CallerSignals> &Caller) {
  auto It = Services.find(Request.Service);
  if (It == Services.end()) {
    QueryAnswer Answer;
    Answer.Code = ResultCode::UnknownService;
    Answer.Message = "service '" + Request.Service.text() +
                     "' is not in revision " +
                     std::to_string(Holder.revision().number());
    return Answer;
  }
  ServiceNode &Node = *It->second;
  QuerySessionOptions Session;
  Session.Received = Context.Loop.now();
  Session.Deadline = Session.Received +
                     Request.Deadline.value_or(Node.settings().DefaultDeadline);
  Session.Idempotent = Request.Idempotent;
  Session.Limit = Request.Limit;
  return Queries.run(Request, Node, Session, Caller);
}

} // namespace mimosa
