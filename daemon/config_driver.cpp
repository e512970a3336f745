#include "daemon/config_driver.h"

#include "config/messages.h"
#include "runtime/await_callback.h"
#include "runtime/log.h"

namespace mimosa {

namespace {

constexpr Duration WatchTimeout = Seconds(30);
constexpr Duration WatchRetryDelay = Milliseconds(500);
/// Interval at which a host that is not a watcher checks whether it has become
/// one.
constexpr Duration WatcherCheckInterval = Milliseconds(500);
constexpr Duration TickInterval = Milliseconds(100);
/// The holder's own timeout is shorter; this one frees the pending request.
constexpr Duration PullRequestTimeout = Milliseconds(3000);

std::optional<StoredConfig> toStoredConfig(const StoredValue &Value) {
  if (Value.Version == StoreVersion())
    return std::nullopt;
  return StoredConfig{Value.Value, Value.Version.number()};
}

} // namespace

ConfigDriver::ConfigDriver(NodeContext &Context, KeyValueStore &Store,
                           std::function<void()> OnChange)
    : Context(Context), Store(Store), OnChange(std::move(OnChange)),
      Holder(Context.Self.Host, Context.Self.Zone) {}

void ConfigDriver::start() {
  Context.Loop.spawn([this] { watchLoop(); });
  Ticks = Context.Loop.every(
      TickInterval, [this] { sendPull(Holder.onTick(Context.Loop.now())); });
}

void ConfigDriver::watchLoop() {
  while (!Context.Loop.stopping()) {
    if (!Holder.isWatcher()) {
      FiberLoop::sleepFor(WatcherCheckInterval);
      continue;
    }
    using WatchResult = Result<std::optional<StoredValue>>;
    WatchResult Reply = awaitCallback<WatchResult>([&](auto Finish) {
      Store.watch(ConfigStoreKey, LastSeenVersion, WatchTimeout, Finish);
    });
    if (!ok(Reply)) {
      FiberLoop::sleepFor(WatchRetryDelay);
      continue;
    }
    if (!valueOf(Reply))
      continue;
    LastSeenVersion = valueOf(Reply)->Version;
    parseAndApply(valueOf(Reply)->Value, ConfigSource::Watch);
  }
}

bool ConfigDriver::parseAndApply(const std::string &Text, ConfigSource Source) {
  Result<Config> Parsed = parseConfig(Text);
  if (!ok(Parsed)) {
    logWarn("config", "ignored an invalid document from the store: " +
                          errorOf(Parsed).Message);
    return false;
  }
  return applyIfNewer(valueOf(std::move(Parsed)), Source);
}

bool ConfigDriver::applyIfNewer(Config Document, ConfigSource Source) {
  if (!Holder.applyIfNewer(std::move(Document), Source))
    return false;
  logInfo("config", "revision " + std::to_string(Holder.revision().number()) +
                        " is active");
  OnChange();
  return true;
}

void ConfigDriver::onAnnouncement(const HostId &Peer, Revision Announced) {
  sendPull(Holder.onAnnouncement(Peer, Announced, Context.Loop.now()));
}

void ConfigDriver::setZoneHosts(const std::vector<HostId> &LiveHosts) {
  Holder.setZoneHosts(LiveHosts);
}

std::string ConfigDriver::pullReply(const PeerFrame &Frame) const {
  Result<ConfigPull> Request = unpackBody<ConfigPull>(Frame.Body);
  ConfigDocument Reply;
  Reply.Sender = Context.Self.Host;
  Reply.ConfigRevision = Holder.revision();
  if (ok(Request) && valueOf(Request).ConfigRevision < Holder.revision())
    Reply.Document = printConfig(*Holder.config());
  return packBody(Reply);
}

void ConfigDriver::sendPull(const std::optional<SendConfigPull> &Pull) {
  if (!Pull)
    return;
  ConfigPull Message{Context.Self.Host, Holder.revision()};
  HostId Peer = Pull->Peer;
  Context.Peers.request(
      Peer, MessageType::ConfigPull, packBody(Message), PullRequestTimeout,
      [this, Peer](const auto &Reply) { onPullReply(Peer, Reply); });
}

std::optional<Config>
ConfigDriver::parsePullReply(const Result<PeerFrame> &Reply) const {
  if (!ok(Reply))
    return std::nullopt;
  Result<ConfigDocument> Message =
      unpackBody<ConfigDocument>(valueOf(Reply).Body);
  if (!ok(Message) || valueOf(Message).Document.empty())
    return std::nullopt;
  Result<Config> Parsed = parseConfig(valueOf(Message).Document);
  if (!ok(Parsed))
    return std::nullopt;
  return valueOf(std::move(Parsed));
}

void ConfigDriver::onPullReply(const HostId &Peer,
                               const Result<PeerFrame> &Reply) {
  Revision Before = Holder.revision();
  std::optional<Config> Document = parsePullReply(Reply);
  sendPull(Holder.onPullReply(Peer, std::move(Document), Context.Loop.now()));
  if (Holder.revision() == Before)
    return;
  logInfo("config", "revision " + std::to_string(Holder.revision().number()) +
                        " is active");
  OnChange();
}

WriteStep ConfigDriver::readStored(ConfigWriter &Writer,
                                   const ReadStoredConfig &Step) {
  if (Step.Delay > Duration(0))
    FiberLoop::sleepFor(Step.Delay);
  auto Read = awaitCallback<Result<StoredValue>>(
      [&](auto Finish) { Store.read(ConfigStoreKey, Finish); });
  if (ok(Read))
    return Writer.onRead(toStoredConfig(valueOf(Read)));
  if (errorOf(Read).Code == ResultCode::NotFound)
    return Writer.onRead(std::nullopt);
  return Writer.onReadFailed();
}

WriteStep ConfigDriver::writeStored(ConfigWriter &Writer,
                                    const CompareAndSwapConfig &Step) {
  auto Written = awaitCallback<Result<SwapReply>>([&](auto Finish) {
    Store.compareAndSwap(ConfigStoreKey, Step.Value,
                         StoreVersion(Step.ExpectedVersion), Finish);
  });
  if (!ok(Written))
    return errorOf(Written).Code == ResultCode::StoreUnavailable
               ? Writer.onWriteFailed()
               : Writer.onWriteReplyLost();
  if (valueOf(Written).Swapped)
    return Writer.onWritten();
  return Writer.onVersionConflict(toStoredConfig(valueOf(Written).Current));
}

ConfigChangeResult ConfigDriver::change(ConfigChange Change) {
  ConfigWriter Writer(std::move(Change));
  WriteStep Step = Writer.start();
  while (true) {
    if (auto *Finished = std::get_if<ConfigChangeResult>(&Step)) {
      if (Finished->Code == ResultCode::Ok && Finished->StoredDocument)
        applyIfNewer(*Finished->StoredDocument, ConfigSource::Store);
      return std::move(*Finished);
    }
    if (const auto *Read = std::get_if<ReadStoredConfig>(&Step))
      Step = readStored(Writer, *Read);
    else
      Step = writeStored(Writer, std::get<CompareAndSwapConfig>(Step));
  }
}

} // namespace mimosa
